"""brookhub: an API gateway and rate limiter whose fleet enforces quotas jointly."""
