"""Creates signed tokens in the three formats that `verdict` accepts.

Does no I/O and reads no clock; times are whole seconds of Unix time.
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections.abc import Sequence

from lilacloft.sign.keys import KeyRecord, SigningKeyError, sign
from lilacloft.sign.paths import MAX_PATH_BYTES, canonicalize


def _encode_base64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _compact_json(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def hmac_link(
    key: KeyRecord,
    patterns: Sequence[str],
    expires_at: int,
    not_before: int = 0,
    token_id: str = "",
    network: str = "",
) -> str:
    """Creates an `hmac` token for the paths that match any of the patterns."""
    if key.algorithm != "HS256":
        raise SigningKeyError(f"key {key.id} is for {key.algorithm}, not for HS256")
    for pattern in patterns:
        if not pattern or len(pattern) > MAX_PATH_BYTES or any(char in pattern for char in "!~ \t\r\n"):
            raise ValueError(
                f"pattern {pattern[:60]!r} is empty, too long, or contains '!', '~' or whitespace"
            )
    fields = [f"exp={expires_at}", f"acl={'!'.join(patterns)}"]
    fields += [
        f"{name}={value}" for name, value in (("st", not_before), ("ip", network), ("id", token_id)) if value
    ]
    fields.append(f"kid={key.id}")
    signing_input = "~".join(fields)
    return f"{signing_input}~hmac={sign(key, signing_input.encode()).hex()}"


def policy_link(
    key: KeyRecord,
    patterns: Sequence[str],
    expires_at: int,
    not_before: int = 0,
    token_id: str = "",
    networks: Sequence[str] = (),
) -> str:
    """Creates a `policy` token: a JSON policy signed with a private key."""
    policy: dict[str, object] = {"resource": list(patterns), "not_after": expires_at}
    policy.update(
        {
            name: value
            for name, value in (("not_before", not_before), ("id", token_id), ("networks", list(networks)))
            if value
        }
    )
    signing_input = f"{_encode_base64url(_compact_json(policy))}.{key.algorithm}.{key.id}"
    return f"{signing_input}.{_encode_base64url(sign(key, signing_input.encode()))}"


def jwt_link(
    key: KeyRecord,
    host: str,
    path: str,
    expires_at: int,
    not_before: int = 0,
    token_id: str = "",
    issuer: str = "",
    regex: str = "",
    networks: Sequence[str] = (),
    renewal_seconds: int = 0,
) -> str:
    """Creates a `jwt` token (CDNI URI Signing) for all URIs that match `regex`, or without it for one URI."""
    uri = f"//{host}{canonicalize(path)}"
    container = f"regex:{regex}" if regex else f"hash:sha-256;{hashlib.sha256(uri.encode()).hexdigest()}"
    claims: dict[str, object] = {"cdniuc": container, "exp": expires_at}
    claims.update(
        {
            name: value
            for name, value in (
                ("nbf", not_before),
                ("jti", token_id),
                ("iss", issuer),
                ("cdniip", list(networks)),
                ("cdniets", renewal_seconds),
                ("cdnistt", 1 if renewal_seconds else 0),
            )
            if value
        }
    )
    signing_input = (
        f"{_encode_base64url(_compact_json({'alg': key.algorithm, 'kid': key.id, 'typ': 'JWT'}))}"
        f".{_encode_base64url(_compact_json(claims))}"
    )
    return f"{signing_input}.{_encode_base64url(sign(key, signing_input.encode()))}"
