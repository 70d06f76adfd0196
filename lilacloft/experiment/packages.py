"""Loads decision modules from source texts, as a package beside the installed one.

The records and the host interface (`model`, `host`) are those of the installed package, as the caller shares
them with the router; all other modules are compiled from the texts.
"""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import sys
import types
from collections.abc import Mapping
from typing import TypeAlias

Sources: TypeAlias = Mapping[str, str]  # source texts by module name, without the package
SHARED = ("model", "host")
RUNNING = "lilacloft.routing"


class TextLoader(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Import hook for the modules of one package that is compiled from texts."""

    def __init__(self, package: str, sources: Sources) -> None:
        """Create the finder of the modules `package.NAME`."""
        self.package = package
        self.sources = {name: self._rename_imports(text) for name, text in sources.items()}

    def _rename_imports(self, text: str) -> str:
        """Return a module's text with imports of the package's other modules redirected to this package."""
        renamed = text.replace(RUNNING, self.package)
        for name in SHARED:
            renamed = renamed.replace(f"{self.package}.{name}", f"{RUNNING}.{name}")
        return renamed

    def find_spec(self, fullname: str, *_: object) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a module of this package; None for all others."""
        package, _, name = fullname.rpartition(".")
        if package != self.package or name not in self.sources:
            return None
        return importlib.machinery.ModuleSpec(fullname, self)

    def exec_module(self, module: types.ModuleType) -> None:
        """Execute the text of a module."""
        name = module.__name__.rpartition(".")[2]
        exec(compile(self.sources[name], module.__name__, "exec"), module.__dict__)


def load(package: str, sources: Sources, name: str) -> types.ModuleType:
    """Return the module `name` of a package compiled from texts. An earlier package of that name is
    replaced. Raises SyntaxError, ImportError."""
    for known in [known for known in sys.modules if known.partition(".")[0] == package]:
        del sys.modules[known]
    sys.meta_path[:] = [finder for finder in sys.meta_path if getattr(finder, "package", None) != package]
    sys.meta_path.append(TextLoader(package, sources))
    parent = types.ModuleType(package)
    parent.__path__ = []
    sys.modules[package] = parent
    return importlib.import_module(f"{package}.{name}")
