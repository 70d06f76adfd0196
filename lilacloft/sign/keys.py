"""Owns a set of keys: which there are, which signs, which still verify; decides what a rotation does to them.

Keys are known by ids and have times: from `not_before` on a key verifies, until `not_after`. The newest that
is valid and not held back signs. A rotation has steps, so that nobody is ever shown a link whose key somebody
else does not have yet: publish (it verifies everywhere), use (it signs), retire (it signs no more, and
verifies until the last link that it signed is over), revoke (at once, for nothing). A set is replaced whole
or not at all. No I/O; times in whole seconds of Unix time. Material is never shown by `repr`, and private
keys are PKCS#8.
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

MIN_SECRET_BYTES = 32  # bytes of a shared secret
PROPAGATION_SECONDS = 300  # seconds from publishing a key to using it, in which all who verify have it
NO_EXPIRY = 1 << 40
KEY_STATES = ("published", "in use", "retired", "revoked")


class SigningKeyError(Exception):
    """What is no key, or cannot become what is asked for; the text says why."""


@dataclass(frozen=True)
class KeyRecord:
    """One key as it is held."""

    id: str
    algorithm: str
    material: Any = field(repr=False)  # bytes, or a key object, private where this one signs
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
    """Is this material of that algorithm, and strong enough? A key of the wrong kind is how one algorithm is
    taken
    for another."""
    public = material.public_key() if hasattr(material, "public_key") else material
    expected_type = {
        "HS256": bytes,
        "EdDSA": ed25519.Ed25519PublicKey,
        "ES256": ec.EllipticCurvePublicKey,
        "RS256": rsa.RSAPublicKey,
    }.get(algorithm)
    if expected_type is None:
        raise SigningKeyError(f"algorithm {algorithm!r}: one of {', '.join(ALGORITHMS)}")
    if not isinstance(public, expected_type):
        raise SigningKeyError(f"a key of another kind than {algorithm}")
    if algorithm == "HS256" and len(material) < MIN_SECRET_BYTES:
        raise SigningKeyError(f"a secret of {len(material)} bytes, {MIN_SECRET_BYTES} at least")
    if algorithm == "RS256" and public.key_size < 2048:
        raise SigningKeyError(f"an RSA key of {public.key_size} bits, 2048 at least")
    if algorithm == "ES256" and not isinstance(public.curve, ec.SECP256R1):
        raise SigningKeyError(f"a curve {public.curve.name}, secp256r1 expected")


def sign(key: KeyRecord, data: bytes) -> bytes:
    """A signature. ES256 as JWT has it: r and s, 32 bytes each."""
    if key.algorithm == "HS256":
        return hmac.new(key.material, data, hashlib.sha256).digest()
    if not key.can_sign():
        raise SigningKeyError(f"key {key.id} only verifies")
    if key.algorithm == "EdDSA":
        return key.material.sign(data)
    if key.algorithm == "ES256":
        r, s = decode_dss_signature(key.material.sign(data, ec.ECDSA(hashes.SHA256())))
        return r.to_bytes(32, "big") + s.to_bytes(32, "big")
    return key.material.sign(data, padding.PKCS1v15(), hashes.SHA256())


def verify(key: KeyRecord, data: bytes, signature: bytes) -> bool:
    """Is it a signature of this key? Shared secrets are compared in constant time."""
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
    """One set of keys."""

    def __init__(self, keys: Iterable[KeyRecord] = ()) -> None:
        self.by_id: dict[str, KeyRecord] = {}
        for key in keys:
            self.add(key)

    def add(self, key: KeyRecord) -> None:
        """One more; an id is never used for two."""
        if not key.id or len(key.id) > 64 or not key.id.isascii() or not key.id.replace("-", "").isalnum():
            raise SigningKeyError(f"an id {key.id[:40]!r}: letters, digits and -, 64 at most")
        if key.id in self.by_id:
            raise SigningKeyError(f"two keys {key.id}")
        if key.state not in KEY_STATES:
            raise SigningKeyError(f"key {key.id}: a state {key.state!r}")
        if key.not_before >= key.not_after:
            raise SigningKeyError(f"key {key.id} is valid never")
        check_key_material(key.algorithm, key.material)
        self.by_id[key.id] = key

    def verification_keys(self) -> dict[str, VerificationKey]:
        """What `verdict.authorize` is given."""
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
        """The key that signs now: in use, valid, the newest."""
        candidates = [
            key
            for key in self.by_id.values()
            if key.state == "in use"
            and key.can_sign()
            and key.not_before <= now < key.not_after
            and algorithm in ("", key.algorithm)
        ]
        if not candidates:
            raise SigningKeyError("no key is in use that signs")
        return max(candidates, key=lambda key: (key.changed, key.not_before, key.id))

    # --- rotation ---

    def activate(self, id_: str, now: int, force: bool = False) -> None:
        """From now on it signs; not before all who verify have had time to get it."""
        key = self._get(id_)
        if key.state != "published":
            raise SigningKeyError(f"key {id_} is {key.state}")
        if now < key.changed + PROPAGATION_SECONDS and not force:
            raise SigningKeyError(
                f"key {id_} was published {now - key.changed} s ago, {PROPAGATION_SECONDS} s at least"
            )
        if not key.can_sign():
            raise SigningKeyError(f"key {id_} only verifies")
        self.by_id[id_] = replace(key, state="in use", changed=now)

    def retire(self, id_: str, now: int, max_link_seconds: int) -> None:
        """It signs no more, and verifies for as long as the longest link that it may have signed. The last
        that signs is not retired: first another one is used."""
        key = self._get(id_)
        if key.state != "in use":
            raise SigningKeyError(f"key {id_} is {key.state}")
        if not any(
            other.state == "in use" and other.id != id_ and other.algorithm == key.algorithm
            for other in self.by_id.values()
        ):
            raise SigningKeyError(f"key {id_} is the last that signs by {key.algorithm}")
        until = min(key.not_after, now + max_link_seconds)
        self.by_id[id_] = replace(key, state="retired", changed=now, not_after=until)

    def revoke(self, id_: str, now: int) -> None:
        """Nothing that it has signed counts any more."""
        self.by_id[id_] = replace(self._get(id_), state="revoked", changed=now)

    def remove_expired(self, now: int) -> list[str]:
        """Keys that can verify nothing any more; those that were revoked are kept, so that they stay so."""
        expired = [
            key.id for key in self.by_id.values() if key.state == "retired" and now > key.not_after + 86_400
        ]
        for id_ in expired:
            del self.by_id[id_]
        return expired

    def _get(self, id_: str) -> KeyRecord:
        if id_ not in self.by_id:
            raise SigningKeyError(f"no key {id_}")
        return self.by_id[id_]

    # --- as text ---

    def jwks(self) -> dict[str, Any]:
        """The public keys, as RFC 7517 has them; shared secrets never."""
        from jwt.algorithms import ECAlgorithm, OKPAlgorithm, RSAAlgorithm

        jwk_encoders = {"EdDSA": OKPAlgorithm, "ES256": ECAlgorithm, "RS256": RSAAlgorithm}
        public_keys = []
        for key in self.by_id.values():
            if key.algorithm in jwk_encoders and key.state != "revoked":
                jwk = jwk_encoders[key.algorithm].to_jwk(key.public_material())
                public_keys.append({**json.loads(jwk), "kid": key.id, "alg": key.algorithm, "use": "sig"})
        return {"keys": public_keys}


def generate_key(id_: str, algorithm: str, secret: bytes, now: int, days: int = 365) -> KeyRecord:
    """A new key, published now. `secret`: random bytes for HS256; other keys draw their own."""
    generate = {
        "HS256": lambda: secret,
        "EdDSA": ed25519.Ed25519PrivateKey.generate,
        "ES256": lambda: ec.generate_private_key(ec.SECP256R1()),
        "RS256": lambda: rsa.generate_private_key(65537, 2048),
    }.get(algorithm)
    if generate is None:
        raise SigningKeyError(f"algorithm {algorithm!r}: one of {', '.join(ALGORITHMS)}")
    return KeyRecord(id_, algorithm, generate(), now, now + days * 86_400, "published", now)


def serialize_key(key: KeyRecord) -> dict[str, Any]:
    """A key as it is written to a file."""
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
    """The same the other way; a clear error names the key and what is wrong, never its material."""
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
        raise SigningKeyError(f"key {name} lacks {error.args[0]}") from None
    except (ValueError, TypeError, AttributeError):
        raise SigningKeyError(f"key {name} cannot be read") from None
