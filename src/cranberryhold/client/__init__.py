"""HTTP/3 connections, feeds and retries of the caller library."""
