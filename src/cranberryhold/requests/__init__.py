"""Requests at the sidecar of a target: admission, processing, peers, upstream."""
