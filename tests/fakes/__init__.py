"""In-memory fakes of the interfaces, and virtual time for tests."""
