"""Decides whether a signed token authorizes a request, until when, and for which resource.

Does no I/O, holds no keys and reads no clock; times are whole seconds of Unix time. There are three token
formats, each limited in size before any part of it is parsed:

- `hmac`: `exp=SECONDS~acl=PATTERN[!PATTERN...][~st=SECONDS][~id=NAME][~ip=NETWORK]~kid=KEY~hmac=HEX`, with an
  HMAC-SHA256 over everything before `~hmac=`, in the style that CDNs publish.
- `policy`: a JSON policy (`resource` patterns, `not_after`, `not_before`, `networks`, `id`) in base64url, the
  algorithm, the key id, and a signature by a private key (Ed25519, ECDSA P-256 or RSA).
- `jwt`: a JWT with the claims of CDNI URI Signing (RFC 9246): `cdniuc` (a URI container, `hash:` or
  `regex:`), `exp`, `nbf`, `cdniip`, `iss`, `jti`, and `cdnistt` and `cdniets` for renewal.

The settings list the permitted algorithms; `none` is never permitted, and a key is only used with its own
algorithm. A verdict gives the reason of a denial for logging; clients are told only that access is denied.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from netaddr import AddrFormatError, IPAddress, IPNetwork

from lilacloft.sign.paths import PathError, canonicalize, pattern_matches

MAX_TOKEN_BYTES = 4096
MAX_FIELDS = 12  # also of lists in a token; JSON objects may have twice as many members
ALGORITHMS = ("HS256", "EdDSA", "ES256", "RS256")
MAX_VALIDITY_SECONDS = 400 * 86_400  # no legitimate link is signed for longer
CLOCK_SKEW_SECONDS = 30  # tolerated clock difference unless the settings give another


@dataclass(frozen=True)
class VerificationKey:
    """A key for verification; `check(data, signature)` returns whether the key made the signature."""

    id: str
    algorithm: str
    check: Callable[[bytes, bytes], bool]
    not_before: int = 0
    not_after: int = 1 << 62
    revoked: bool = False


@dataclass(frozen=True)
class Request:
    """The parts of a request that a token can restrict."""

    method: str
    host: str
    path: str  # as received
    address: str = ""  # of the client


@dataclass(frozen=True)
class Verdict:
    """Whether a request is allowed, until when and for which resource, or the reason of its denial."""

    allowed: bool
    reason: str
    path: str = ""  # canonical
    valid_until: int = 0
    resource: str = ""
    key_id: str = ""
    token_id: str = ""  # id of a single-use token, used up by this request
    renewal_seconds: int = 0  # nonzero: renew the token for this long


@dataclass(frozen=True)
class Rules:
    """Restrictions on tokens from the settings of a virtual host."""

    token_formats: tuple[str, ...] = ("hmac", "policy", "jwt")
    algorithms: tuple[str, ...] = ALGORITHMS
    skew: int = CLOCK_SKEW_SECONDS
    hosts: tuple[str, ...] = ()  # hosts that tokens may be used for; empty: any
    methods: tuple[str, ...] = ("GET", "HEAD")
    issuers: tuple[str, ...] = ()


@dataclass
class Claims:
    """The contents of a token of any format."""

    token_format: str
    algorithm: str
    key_id: str
    signing_input: bytes
    signature: bytes
    patterns: tuple[str, ...] = ()
    uri_hash: str = ""  # SHA-256 of the URI, in hex
    regex: str = ""
    not_before: int = 0
    expires_at: int = 0
    networks: tuple[str, ...] = ()
    token_id: str = ""
    issuer: str = ""
    renewal_seconds: int = 0
    hosts: tuple[str, ...] = field(default_factory=tuple)


class TokenError(Exception):
    """A token could not be parsed; the message gives the reason."""


# --- parsing ---


def parse_integer(text: Any, label: str) -> int:
    """Parses a non-negative integer of at most 12 digits, such as a time or duration."""
    if isinstance(text, bool) or not isinstance(text, int | str) or not re.fullmatch(r"\d{1,12}", str(text)):
        raise TokenError(f"{label} is not an integer of at most 12 digits")
    return int(text)


def parse_token(token: str, token_format: str) -> Claims:
    """Parses a token without verifying its signature."""
    if len(token) > MAX_TOKEN_BYTES:
        raise TokenError(f"{len(token)} bytes exceed the limit of {MAX_TOKEN_BYTES}")
    if not token.isascii() or any(ord(char) < 0x21 or ord(char) == 0x7F for char in token):
        raise TokenError("contains whitespace, control or non-ASCII characters")
    if token_format == "hmac":
        return _parse_hmac(token)
    if token_format == "policy":
        return _parse_policy(token)
    if token_format == "jwt":
        return _parse_jwt(token)
    raise TokenError(f"unknown format {token_format}, expected hmac, policy or jwt")


def _parse_hmac(token: str) -> Claims:
    signing_input, separator, signature = token.rpartition("~hmac=")
    if not separator:
        raise TokenError("no hmac field at the end")
    fields: dict[str, str] = {}
    parts = signing_input.split("~")
    if len(parts) > MAX_FIELDS:
        raise TokenError(f"{len(parts)} fields exceed the limit of {MAX_FIELDS}")
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or name in fields or name not in ("exp", "st", "acl", "id", "kid", "ip"):
            raise TokenError(f"field {name[:20]!r} is malformed, repeated or unknown")
        fields[name] = value
    for name in ("exp", "acl", "kid"):
        if not fields.get(name):
            raise TokenError(f"{name} is missing")
    try:
        raw = bytes.fromhex(signature)
    except ValueError:
        raise TokenError("hmac is not hexadecimal") from None
    return Claims(
        "hmac",
        "HS256",
        fields["kid"],
        signing_input.encode(),
        raw,
        tuple(fields["acl"].split("!")),
        not_before=parse_integer(fields.get("st", "0"), "st"),
        expires_at=parse_integer(fields["exp"], "exp"),
        networks=(fields["ip"],) if fields.get("ip") else (),
        token_id=fields.get("id", ""),
    )


def _decode_base64url(text: str, label: str) -> bytes:
    if not re.fullmatch(r"[A-Za-z0-9_-]*", text):
        raise TokenError(f"{label} is not valid base64url")
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raise TokenError(f"{label} is not valid base64url") from None
    if base64.urlsafe_b64encode(data).rstrip(b"=").decode() != text:
        raise TokenError(f"{label} is not canonical base64url")  # else one token would have several spellings
    return data


def _parse_json_object(data: bytes, label: str) -> dict[str, Any]:
    def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        out = dict(pairs)
        if len(out) < len(pairs):
            raise TokenError(f"{label} has a duplicate name")
        return out

    try:
        parsed = json.loads(data, object_pairs_hook=reject_duplicates)
    except (ValueError, RecursionError):
        raise TokenError(f"{label} is not valid JSON") from None
    if not isinstance(parsed, dict) or len(parsed) > 2 * MAX_FIELDS:
        raise TokenError(f"{label} is not a JSON object, or has too many members")
    return parsed


def _parse_strings(value: Any, label: str) -> tuple[str, ...]:
    parsed = [value] if isinstance(value, str) else value
    if (
        not isinstance(parsed, list)
        or len(parsed) > MAX_FIELDS
        or not all(isinstance(item, str) for item in parsed)
    ):
        raise TokenError(f"{label} is not a string or a list of strings, or the list is too long")
    return tuple(parsed)


def _parse_policy(token: str) -> Claims:
    parts = token.split(".")
    if len(parts) != 4:
        raise TokenError("expected policy.algorithm.key.signature")
    policy, algorithm, key_id, signature = parts
    parsed = _parse_json_object(_decode_base64url(policy, "the policy"), "the policy")
    unknown = set(parsed) - {"resource", "not_after", "not_before", "networks", "id"}
    if unknown:
        raise TokenError(f"the policy has the unknown member {sorted(unknown)[0][:20]!r}")
    resource = _parse_strings(parsed.get("resource", ""), "resource")
    if not all(resource):
        raise TokenError("resource is missing or empty")
    return Claims(
        "policy",
        algorithm,
        key_id,
        ".".join(parts[:3]).encode(),
        _decode_base64url(signature, "the signature"),
        resource,
        not_before=parse_integer(parsed.get("not_before", 0), "not_before"),
        expires_at=parse_integer(parsed.get("not_after", ""), "not_after"),
        networks=_parse_strings(parsed.get("networks", []), "networks"),
        token_id=_parse_strings(parsed.get("id", ""), "id")[0],
    )


def _parse_jwt(token: str) -> Claims:
    parts = token.split(".")
    if len(parts) != 3:
        raise TokenError("expected header.claims.signature")
    header, claims = (
        _parse_json_object(_decode_base64url(part, label), label)
        for part, label in zip(parts[:2], ("the header", "the claims"), strict=True)
    )
    algorithm, key_id = header.get("alg"), header.get("kid", "")
    if not isinstance(algorithm, str) or not isinstance(key_id, str):
        raise TokenError("alg is missing, or alg or kid is not a string")
    if set(header) - {"alg", "kid", "typ"}:
        raise TokenError("the header has unsupported parameters")  # such as crit, jku or x5u
    if parse_integer(claims.get("cdniv", 1), "cdniv") != 1:
        raise TokenError("unsupported version in cdniv")
    if claims.get("cdnicrit"):
        raise TokenError("unsupported critical claim in cdnicrit")
    container = _parse_strings(claims.get("cdniuc", ""), "cdniuc")[0]
    kind, _, container_value = container.partition(":")
    if kind not in ("hash", "regex") or not container_value:
        raise TokenError("cdniuc is not a hash: or regex: URI container")
    signature = _decode_base64url(parts[2], "the signature")
    return Claims(
        "jwt",
        algorithm,
        key_id,
        ".".join(parts[:2]).encode(),
        signature,
        uri_hash=container_value.removeprefix("sha-256;") if kind == "hash" else "",
        regex=container_value if kind == "regex" else "",
        not_before=parse_integer(claims.get("nbf", 0), "nbf"),
        expires_at=parse_integer(claims.get("exp", ""), "exp"),
        networks=_parse_strings(claims.get("cdniip", []), "cdniip"),
        token_id=_parse_strings(claims.get("jti", ""), "jti")[0],
        issuer=_parse_strings(claims.get("iss", ""), "iss")[0],
        renewal_seconds=parse_integer(claims.get("cdniets", 0), "cdniets") if claims.get("cdnistt") else 0,
    )


# --- authorization ---


def authorize(
    token: str,
    token_format: str,
    request: Request,
    keys: Mapping[str, VerificationKey],
    rules: Rules,
    now: int,
) -> Verdict:
    """Returns whether the token authorizes the request; malformed input is denied."""
    try:
        path = canonicalize(request.path)
    except PathError as error:
        return Verdict(False, f"path: {error}")
    if token_format not in rules.token_formats:
        return Verdict(False, f"token format {token_format} is not allowed", path)
    try:
        claims = parse_token(token, token_format)
    except TokenError as error:
        return Verdict(False, f"token: {error}", path)
    reason = signature_denial(claims, keys, rules, now)
    if reason:
        return Verdict(False, reason, path, key_id=claims.key_id)
    reason = request_denial(claims, request, path, rules, now)
    if reason:
        return Verdict(False, reason, path, key_id=claims.key_id)
    return Verdict(
        True,
        "",
        path,
        claims.expires_at + rules.skew,
        describe_resource(claims),
        claims.key_id,
        claims.token_id,
        claims.renewal_seconds,
    )


def signature_denial(claims: Claims, keys: Mapping[str, VerificationKey], rules: Rules, now: int) -> str:
    """Returns why the signature is not accepted, or an empty string if it is valid."""
    if claims.algorithm not in ALGORITHMS or claims.algorithm not in rules.algorithms:
        return f"algorithm {claims.algorithm[:20]!r} is not allowed"
    key = keys.get(claims.key_id)
    if key is None:
        return f"unknown key {claims.key_id[:40]!r}"
    if key.algorithm != claims.algorithm:
        return f"key {key.id} is for {key.algorithm}, not for {claims.algorithm}"
    if key.revoked:
        return f"key {key.id} is revoked"
    if not key.not_before - rules.skew <= now <= key.not_after + rules.skew:
        return f"key {key.id} is not valid now"
    if not key.check(claims.signing_input, claims.signature):
        return f"the signature does not match key {key.id}"
    return ""


def request_denial(claims: Claims, request: Request, path: str, rules: Rules, now: int) -> str:
    """Returns why the claims do not authorize the request, or an empty string if they do."""
    if request.method not in rules.methods:
        return f"method {request.method[:20]} is not allowed for signed links"
    if rules.hosts and request.host not in rules.hosts:
        return f"host {request.host[:60]} is not allowed for signed links"
    if rules.issuers and claims.token_format == "jwt" and claims.issuer not in rules.issuers:
        return f"issuer {claims.issuer[:40]!r} is not trusted"
    if now > claims.expires_at + rules.skew:
        return f"expired {now - claims.expires_at} s ago"
    if now < claims.not_before - rules.skew:
        return f"not valid for another {claims.not_before - now} s"
    if claims.expires_at > now + MAX_VALIDITY_SECONDS:
        return "expires too far in the future"
    if claims.networks and not address_in_networks(request.address, claims.networks):
        return f"address {request.address[:60]!r} is not in the allowed networks"
    uri = f"//{request.host}{path}"
    if claims.uri_hash:
        return (
            ""
            if hmac.compare_digest(hashlib.sha256(uri.encode()).hexdigest(), claims.uri_hash.lower())
            else "the URI does not match the hash"
        )
    if claims.regex:
        covered = is_safe_regex(claims.regex) and re.fullmatch(claims.regex, uri)
        return (
            "" if covered else "the URI does not match the regular expression, or the latter is not allowed"
        )
    for pattern in claims.patterns:
        if pattern.startswith("//"):
            host, slash, rest = pattern[2:].partition("/")
            if host == request.host and pattern_matches(slash + rest, path):
                return ""
        elif pattern_matches(pattern, path):
            return ""
    return "no pattern matches the URI"


def is_safe_regex(regex: str) -> bool:
    """Returns whether a regular expression is valid and free of constructs that may match slowly.

    Repeated groups, back-references, stacked quantifiers and more than 8 of `*` and `+` are rejected.
    """
    return (
        len(regex) <= 512
        and not re.search(r"\\[1-9]|\(\?|[*+}]\s*[*+{]|\)[*+{?]", regex)
        and regex.count("*") + regex.count("+") <= 8
        and _compiles(regex)
    )


def _compiles(regex: str) -> bool:
    try:
        re.compile(regex)
    except (re.error, RecursionError, OverflowError):
        return False
    return True


def address_in_networks(address: str, networks: Iterable[str]) -> bool:
    """Returns whether an address is in one of the networks; invalid networks contain no address."""
    try:
        ip = IPAddress(address)
    except (AddrFormatError, ValueError):
        return False
    if ip.version == 6 and ip.is_ipv4_mapped():
        ip = ip.ipv4()
    for text in networks:
        try:
            if ip in IPNetwork(text):
                return True
        except (AddrFormatError, ValueError):
            continue
    return False


def describe_resource(claims: Claims) -> str:
    """Returns the resource of a token as text: the regular expression, the hash or the patterns."""
    return claims.regex or claims.uri_hash or " ".join(claims.patterns)
