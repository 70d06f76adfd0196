"""The log of a process: leveled messages with `str.format` fields, as text or as JSON records.

Text is written by the standard library's `logging`. JSON records are written by loguru, which is imported for
them alone: with asyncio and ssl, which it imports, it takes up 6 MB of each process.
"""

from __future__ import annotations

import itertools
import logging
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO

FIELDS = "fields"  # attribute of a record that holds its bound fields
Sink = TextIO | Callable[[str], Any]


class TextFormatter(logging.Formatter):
    """Formats records as `HH:MM:SS.mmm LEVEL message`, with the traceback of an exception behind it."""

    def __init__(self) -> None:
        super().__init__("{asctime}.{msecs:03.0f} {levelname} {message}", "%H:%M:%S", style="{")


class SinkHandler(logging.Handler):
    """Writes formatted records to a stream, or passes them to a function."""

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self.setFormatter(TextFormatter())
        self.write = sink if callable(sink) else sink.write
        self.flush_sink = (lambda: None) if callable(sink) else sink.flush

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record. A stream that cannot be written to ends nothing."""
        try:
            self.write(self.format(record) + "\n")
            self.flush_sink()
        except (OSError, ValueError):
            return


class JsonHandler(logging.Handler):
    """Writes one JSON object per line, whose `record.extra` has the bound fields."""

    def __init__(self, stream: TextIO, form: str) -> None:
        """`form`: the format of the object's `text`."""
        from loguru import logger as json_logger

        super().__init__()
        json_logger.remove()
        json_logger.add(stream, format=form, diagnose=False, serialize=True)
        self.json_logger = json_logger

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""

        def set_origin(entry: Any) -> None:
            entry.update(name=record.name, function=record.funcName, line=record.lineno, module=record.module)
            entry["file"] = type(entry["file"])(record.filename, record.pathname)

        bound = self.json_logger.bind(**getattr(record, FIELDS))
        patched = bound.opt(exception=record.exc_info).patch(set_origin)
        patched.log(record.levelname, "{}", record.getMessage())


class Logger:
    """Logs messages with `str.format` arguments, and with fields for JSON records."""

    def __init__(self, target: logging.Logger, fields: Mapping[str, Any] | None = None) -> None:
        """`fields`: what each record of this logger holds besides its message."""
        self.target, self.fields = target, dict(fields or {})
        self.handlers: dict[int, logging.Handler] = {}
        self.numbers = itertools.count(1)

    def bind(self, **fields: Any) -> Logger:
        """Return a logger whose records hold further fields."""
        return Logger(self.target, {**self.fields, **fields})

    def debug(self, message: str, *arguments: Any) -> None:
        """Log a message for developers."""
        self._log(logging.DEBUG, message, arguments)

    def info(self, message: str, *arguments: Any) -> None:
        """Log a message about normal operation."""
        self._log(logging.INFO, message, arguments)

    def warning(self, message: str, *arguments: Any) -> None:
        """Log a message about something unexpected."""
        self._log(logging.WARNING, message, arguments)

    def error(self, message: str, *arguments: Any) -> None:
        """Log a message about a failure."""
        self._log(logging.ERROR, message, arguments)

    def exception(self, message: str, *arguments: Any) -> None:
        """Log a failure with the traceback of the exception that is being handled."""
        self._log(logging.ERROR, message, arguments, with_traceback=True)

    def add(self, sink: Sink | logging.Handler, level: str = "DEBUG") -> int:
        """Write records of at least a level to a sink; return the number by which `remove` removes it."""
        handler = sink if isinstance(sink, logging.Handler) else SinkHandler(sink)
        handler.setLevel(level)
        number = next(self.numbers)
        self.handlers[number] = handler
        self.target.addHandler(handler)
        return number

    def remove(self, number: int | None = None) -> None:
        """Remove a sink; None: all sinks."""
        for key in list(self.handlers) if number is None else [number]:
            self.target.removeHandler(self.handlers.pop(key))

    def _log(
        self, level: int, message: str, arguments: tuple[Any, ...], with_traceback: bool = False
    ) -> None:
        if not self.target.isEnabledFor(level):
            return
        text = message.format(*arguments) if arguments else message
        self.target.log(level, "%s", text, exc_info=with_traceback, extra={FIELDS: self.fields}, stacklevel=3)


def _target() -> logging.Logger:
    target = logging.getLogger("lilacloft")
    target.setLevel(logging.DEBUG)
    target.propagate = False
    target.addHandler(logging.NullHandler())
    return target


logger = Logger(_target())


def configure(form: str = "text") -> None:
    """Log to standard error as text, or with `form` "json" as one JSON object per line, whose `record.extra`
    has the named fields."""
    logger.remove()
    if form == "json":
        logger.add(JsonHandler(sys.stderr, "{time:HH:mm:ss.SSS} {level} {message}"))
    else:
        logger.add(sys.stderr)
