"""Sets of signing keys: their states, rotation, and serialization.

Each key has an id and a validity period: it verifies from `not_before` until `not_after`. Of the valid keys
in state `in use`, the most recently activated one signs. Rotation takes several steps so that no verifier is
presented with a link whose key it does not have yet:

- published: the key verifies everywhere but does not sign.
- in use: the key signs.
- retired: the key no longer signs, and verifies until the last link that it signed has expired.
- revoked: the key neither signs nor verifies, with immediate effect.

A set is replaced as a whole or not at all: an invalid key makes the constructor raise. Does no I/O; times are
whole seconds of Unix time. `repr` never shows key material, and private keys are stored as PKCS#8.
"""

from __future__ import annotations

import hashlib
import hmac
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, padding, rsa
from cryptography.hazmat.primitives.asymmetric.utils import decode_dss_signature, encode_dss_signature

from lilacloft.sign.verdict import ALGORITHMS, VerificationKey

MIN_SECRET_BYTES = 32  # for shared secrets (HS256)
PROPAGATION_SECONDS = 300  # from publishing a key until it may sign, so that every verifier has received it
NO_EXPIRY = 1 << 40
KEY_STATES = ("published", "in use", "retired", "revoked")


class SigningKeyError(Exception):
    """A key is invalid or an operation on it is not permitted; the message gives the reason."""


@dataclass(frozen=True)
class KeyRecord:
    """A key with its material, validity period and state."""

    id: str
    algorithm: str
    # Bytes for a shared secret, otherwise a private key or, for verification only, a public key.
    material: Any = field(repr=False)
    not_before: int = 0
    not_after: int = NO_EXPIRY
    state: str = "published"
    changed: int = 0

    def public_material(self) -> Any:
        return (
            self.material
            if isinstance(self.material, bytes) or not hasattr(self.material, "public_key")
            else self.material.public_key()
        )

    def can_sign(self) -> bool:
        return isinstance(self.material, bytes) or hasattr(self.material, "public_key")


def check_key_material(algorithm: str, material: Any) -> None:
    """Raises SigningKeyError unless the material fits the algorithm and is strong enough.

    Accepting a key of the wrong type would allow algorithm confusion attacks.
    """
    public = material.public_key() if hasattr(material, "public_key") else material
    expected_type = {
        "HS256": bytes,
        "EdDSA": ed25519.Ed25519PublicKey,
        "ES256": ec.EllipticCurvePublicKey,
        "RS256": rsa.RSAPublicKey,
    }.get(algorithm)
    if expected_type is None:
        raise SigningKeyError(f"algorithm {algorithm!r} is not one of {', '.join(ALGORITHMS)}")
    if not isinstance(public, expected_type):
        raise SigningKeyError(f"key type does not match algorithm {algorithm}")
    if algorithm == "HS256" and len(material) < MIN_SECRET_BYTES:
        raise SigningKeyError(f"secret has {len(material)} bytes, at least {MIN_SECRET_BYTES} required")
    if algorithm == "RS256" and public.key_size < 2048:
        raise SigningKeyError(f"RSA key has {public.key_size} bits, at least 2048 required")
    if algorithm == "ES256" and not isinstance(public.curve, ec.SECP256R1):
        raise SigningKeyError(f"curve is {public.curve.name}, secp256r1 required")


def sign(key: KeyRecord, data: bytes) -> bytes:
    """Signs data. ES256 signatures have the JWS format: r and s, 32 bytes each."""
    if key.algorithm == "HS256":
        return hmac.new(key.material, data, hashlib.sha256).digest()
    if not key.can_sign():
        raise SigningKeyError(f"key {key.id} has no private key and cannot sign")
    if key.algorithm == "EdDSA":
        return key.material.sign(data)
    if key.algorithm == "ES256":
        r, s = decode_dss_signature(key.material.sign(data, ec.ECDSA(hashes.SHA256())))
        return r.to_bytes(32, "big") + s.to_bytes(32, "big")
    return key.material.sign(data, padding.PKCS1v15(), hashes.SHA256())


def verify(key: KeyRecord, data: bytes, signature: bytes) -> bool:
    """Returns whether a signature was made with this key. HMACs are compared in constant time."""
    public = key.public_material()
    if key.algorithm == "HS256":
        return hmac.compare_digest(sign(key, data), signature)
    try:
        if key.algorithm == "EdDSA":
            public.verify(signature, data)
        elif key.algorithm == "ES256":
            if len(signature) != 64:
                return False
            r, s = (int.from_bytes(part, "big") for part in (signature[:32], signature[32:]))
            public.verify(encode_dss_signature(r, s), data, ec.ECDSA(hashes.SHA256()))
        else:
            public.verify(signature, data, padding.PKCS1v15(), hashes.SHA256())
    except (InvalidSignature, ValueError):
        return False
    return True


class KeySet:
    """A set of keys with unique ids."""

    def __init__(self, keys: Iterable[KeyRecord] = ()) -> None:
        self.by_id: dict[str, KeyRecord] = {}
        for key in keys:
            self.add(key)

    def add(self, key: KeyRecord) -> None:
        """Adds a key after checking its id, state, validity period and material."""
        if not key.id or len(key.id) > 64 or not key.id.isascii() or not key.id.replace("-", "").isalnum():
            raise SigningKeyError(f"key id {key.id[:40]!r} is not 1 to 64 letters, digits and -")
        if key.id in self.by_id:
            raise SigningKeyError(f"duplicate key id {key.id}")
        if key.state not in KEY_STATES:
            raise SigningKeyError(f"key {key.id} has unknown state {key.state!r}")
        if key.not_before >= key.not_after:
            raise SigningKeyError(f"key {key.id} is never valid: not_before is not earlier than not_after")
        check_key_material(key.algorithm, key.material)
        self.by_id[key.id] = key

    def verification_keys(self) -> dict[str, VerificationKey]:
        """Returns the keys in the form that `verdict.authorize` takes."""
        return {
            key.id: VerificationKey(
                key.id,
                key.algorithm,
                lambda data, signature, key=key: verify(key, data, signature),
                key.not_before,
                key.not_after,
                key.state == "revoked",
            )
            for key in self.by_id.values()
        }

    def signing_key(self, now: int, algorithm: str = "") -> KeyRecord:
        """Returns the key to sign with: of the valid keys in use, the most recently activated one."""
        candidates = [
            key
            for key in self.by_id.values()
            if key.state == "in use"
            and key.can_sign()
            and key.not_before <= now < key.not_after
            and algorithm in ("", key.algorithm)
        ]
        if not candidates:
            raise SigningKeyError("no signing key is in use")
        return max(candidates, key=lambda key: (key.changed, key.not_before, key.id))

    # --- rotation ---

    def activate(self, id_: str, now: int, force: bool = False) -> None:
        """Lets a published key sign.

        Fails within PROPAGATION_SECONDS of publishing unless `force` is set: verifiers may not have it yet.
        """
        key = self._get(id_)
        if key.state != "published":
            raise SigningKeyError(f"key {id_} is {key.state}, not published")
        if now < key.changed + PROPAGATION_SECONDS and not force:
            raise SigningKeyError(
                f"key {id_} was published {now - key.changed} s ago, must be {PROPAGATION_SECONDS} s or more"
            )
        if not key.can_sign():
            raise SigningKeyError(f"key {id_} has no private key and cannot sign")
        self.by_id[id_] = replace(key, state="in use", changed=now)

    def retire(self, id_: str, now: int, max_link_seconds: int) -> None:
        """Stops a key from signing; it verifies for as long as a link that it signed may be valid.

        The last key in use of its algorithm cannot be retired; another one must be activated first.
        """
        key = self._get(id_)
        if key.state != "in use":
            raise SigningKeyError(f"key {id_} is {key.state}, not in use")
        if not any(
            other.state == "in use" and other.id != id_ and other.algorithm == key.algorithm
            for other in self.by_id.values()
        ):
            raise SigningKeyError(f"key {id_} is the last key in use for {key.algorithm}")
        until = min(key.not_after, now + max_link_seconds)
        self.by_id[id_] = replace(key, state="retired", changed=now, not_after=until)

    def revoke(self, id_: str, now: int) -> None:
        """Invalidates everything that a key has signed, immediately."""
        self.by_id[id_] = replace(self._get(id_), state="revoked", changed=now)

    def remove_expired(self, now: int) -> list[str]:
        """Removes the keys that were retired and expired over a day ago, and returns their ids.

        Revoked keys are kept so that they stay revoked.
        """
        expired = [
            key.id for key in self.by_id.values() if key.state == "retired" and now > key.not_after + 86_400
        ]
        for id_ in expired:
            del self.by_id[id_]
        return expired

    def _get(self, id_: str) -> KeyRecord:
        if id_ not in self.by_id:
            raise SigningKeyError(f"unknown key {id_}")
        return self.by_id[id_]

    # --- export ---

    def jwks(self) -> dict[str, Any]:
        """Returns the public keys that are not revoked as a JWK set (RFC 7517), without shared secrets."""
        from jwt.algorithms import ECAlgorithm, OKPAlgorithm, RSAAlgorithm

        jwk_encoders = {"EdDSA": OKPAlgorithm, "ES256": ECAlgorithm, "RS256": RSAAlgorithm}
        public_keys = []
        for key in self.by_id.values():
            if key.algorithm in jwk_encoders and key.state != "revoked":
                jwk = jwk_encoders[key.algorithm].to_jwk(key.public_material())
                public_keys.append({**json.loads(jwk), "kid": key.id, "alg": key.algorithm, "use": "sig"})
        return {"keys": public_keys}


def generate_key(id_: str, algorithm: str, secret: bytes, now: int, days: int = 365) -> KeyRecord:
    """Generates a key in state `published`. `secret` holds the random bytes for HS256, else it is unused."""
    generate = {
        "HS256": lambda: secret,
        "EdDSA": ed25519.Ed25519PrivateKey.generate,
        "ES256": lambda: ec.generate_private_key(ec.SECP256R1()),
        "RS256": lambda: rsa.generate_private_key(65537, 2048),
    }.get(algorithm)
    if generate is None:
        raise SigningKeyError(f"algorithm {algorithm!r} is not one of {', '.join(ALGORITHMS)}")
    return KeyRecord(id_, algorithm, generate(), now, now + days * 86_400, "published", now)


def serialize_key(key: KeyRecord) -> dict[str, Any]:
    """Returns a key, with its secret or private key, as a dict that can be written as JSON."""
    if isinstance(key.material, bytes):
        material = key.material.hex()
    elif key.can_sign():
        material = key.material.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        ).decode()
    else:
        material = key.material.public_bytes(
            serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
        ).decode()
    return {
        "id": key.id,
        "algorithm": key.algorithm,
        "not_before": key.not_before,
        "state": key.state,
        "not_after": key.not_after,
        "changed": key.changed,
        "material": material,
    }


def deserialize_key(stored: Mapping[str, Any]) -> KeyRecord:
    """Reverses `serialize_key`. Errors name the key and the problem, but never contain key material."""
    name = stored.get("id", "?") if isinstance(stored, Mapping) else "?"
    try:
        algorithm, text = stored["algorithm"], stored["material"]
        if algorithm == "HS256":
            material: Any = bytes.fromhex(text)
        elif "PRIVATE KEY" in text:
            material = serialization.load_pem_private_key(text.encode(), None)
        else:
            material = serialization.load_pem_public_key(text.encode())
        return KeyRecord(
            str(name),
            algorithm,
            material,
            int(stored["not_before"]),
            int(stored["not_after"]),
            stored["state"],
            int(stored["changed"]),
        )
    except KeyError as error:
        raise SigningKeyError(f"key {name} is missing {error.args[0]}") from None
    except (ValueError, TypeError, AttributeError):
        raise SigningKeyError(f"key {name} cannot be parsed") from None
