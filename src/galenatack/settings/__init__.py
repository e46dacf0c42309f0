"""Settings types and the checked YAML loader."""
