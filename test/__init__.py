"""The test suite; shared builders are in `test.builders`."""
