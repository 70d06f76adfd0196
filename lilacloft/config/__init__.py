"""The operators' settings: their syntax, the allowed values, and error reports."""
