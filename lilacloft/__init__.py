"""lilacloft: decides where objects are served, cached and filled from."""

__version__ = "0.5.0"
