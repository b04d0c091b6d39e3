"""A stable 64-bit hash for placement, identical on every daemon and version.

It is not cryptographic: tokens are hashed in `configuration`.
"""

import xxhash


def hash_bytes(data: bytes) -> int:
    """Computes the 64-bit hash of bytes."""
    return xxhash.xxh3_64_intdigest(data)


def hash_text(text: str) -> int:
    """Computes the 64-bit hash of text."""
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
