"""The version of the package, in one place for code and packaging."""

__version__ = "0.1.0"
