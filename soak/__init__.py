"""A soak of real node processes under faults that come from outside them."""
