"""Settings types and the validating YAML loader."""
