"""Tables that hold the state of the program as rows, without any I/O."""
