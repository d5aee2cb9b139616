"""Adapter between gateway policies and the operators' simulator: binary frames on stdin and stdout."""
