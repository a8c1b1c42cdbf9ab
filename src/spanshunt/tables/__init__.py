"""Tables: the state of the program as rows. Nothing here does I/O."""
