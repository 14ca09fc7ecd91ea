"""How requests wait, and which are refused while they do."""
