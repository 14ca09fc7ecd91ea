"""The test suite: a file a module, builders in `test.builders`."""
