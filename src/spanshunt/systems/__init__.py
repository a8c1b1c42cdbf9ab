"""Systems: plain functions over the tables. Nothing here does I/O."""
