"""Evidence, evaluation, driver and withdrawal of moves."""
