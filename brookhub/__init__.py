"""brookhub: a quota-keeping API gateway."""
