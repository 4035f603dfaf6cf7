"""Hold the declarations, messages and decisions of nutmegshelf, without any I/O."""
