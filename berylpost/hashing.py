"""One stable 64-bit hash for placement; the same on every daemon and version.

Not for secrets: tokens are hashed in `configuration`.
"""

import xxhash


def hash_bytes(data: bytes) -> int:
    """Hashes bytes to 64 bits."""
    return xxhash.xxh3_64_intdigest(data)


def hash_text(text: str) -> int:
    """Hashes text to 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
