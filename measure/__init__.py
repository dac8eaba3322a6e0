"""Demo and measurement programs over the stand-ins."""
