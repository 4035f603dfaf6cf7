"""Speak HTTP/1.1 over asyncio streams and h11."""
