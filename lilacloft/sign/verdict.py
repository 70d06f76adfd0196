"""Decides whether a signed link lets a req in, until when, for what; owns no keys and no clock.

Three forms, each bounded in size before anything of it is parsed:

- `hmac`: `exp=SECONDS~acl=PATTERN[!PATTERN...][~st=SECONDS][~id=NAME]~kid=KEY~hmac=HEX`, HMAC-SHA256 over all
before
  `~hmac=`, as content networks publish it.
- `policy`: a JSON policy (resource pattern, not after, not before, networks) in base64, with a signature by a
  private key (Ed25519, ECDSA P-256, RSA) and its id.
- `jwt`: claims of URI Signing for CDNI (RFC 9246): `cdniuc` (a container: `hash:` or `regex:`), `exp`, `nbf`,
`cdniip`,
  `cdnistt` and `cdniets` for renewal, `jti`.

Which algorithms may be is for the settings to say; `none` never, and no key for any but its own algorithm. A
verdict has its reason for the record; a client hears only that it is denied. Times in whole seconds of Unix
time.
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

MAX_TOKEN_BYTES = 4096  # bytes of a token
MAX_FIELDS = 12
ALGORITHMS = ("HS256", "EdDSA", "ES256", "RS256")
MAX_VALIDITY_SECONDS = 400 * 86_400  # nobody signs for longer
CLOCK_SKEW_SECONDS = 30  # seconds that clocks may differ, where nothing else is told


@dataclass(frozen=True)
class VerificationKey:
    """A key as it is used to verify: its id, algorithm and times; `check` says whether a signature is its
    own."""

    id: str
    algorithm: str
    check: Callable[[bytes, bytes], bool]
    not_before: int = 0
    not_after: int = 1 << 62
    revoked: bool = False


@dataclass(frozen=True)
class Request:
    """What is asked for, as far as a link can speak of it."""

    method: str
    host: str
    path: str  # as it came
    address: str = ""


@dataclass(frozen=True)
class Verdict:
    """Allowed until when, and for what; or denied, because."""

    allowed: bool
    reason: str
    path: str = ""  # canonical
    valid_until: int = 0
    resource: str = ""
    key_id: str = ""
    token_id: str = ""  # an id that is spent by this
    renewal_seconds: int = 0  # it is to be renewed with so many seconds more


@dataclass(frozen=True)
class Rules:
    """What a vhost's settings say of links."""

    token_formats: tuple[str, ...] = ("hmac", "policy", "jwt")
    algorithms: tuple[str, ...] = ALGORITHMS
    skew: int = CLOCK_SKEW_SECONDS
    hosts: tuple[str, ...] = ()  # hosts that a link may be for; empty: that of the req
    methods: tuple[str, ...] = ("GET", "HEAD")
    issuers: tuple[str, ...] = ()


@dataclass
class Claims:
    """What a token says, whichever form it has."""

    token_format: str
    algorithm: str
    key_id: str
    signing_input: bytes
    signature: bytes
    patterns: tuple[str, ...] = ()
    uri_hash: str = ""  # SHA-256 of the whole URI
    regex: str = ""
    not_before: int = 0
    expires_at: int = 0
    networks: tuple[str, ...] = ()
    token_id: str = ""
    issuer: str = ""
    renewal_seconds: int = 0
    hosts: tuple[str, ...] = field(default_factory=tuple)


class TokenError(Exception):
    """A token that cannot be read; the text says why."""


# --- reading ---


def parse_integer(text: Any, label: str) -> int:
    """A whole time or span that can be one."""
    if isinstance(text, bool) or not isinstance(text, int | str) or not re.fullmatch(r"\d{1,12}", str(text)):
        raise TokenError(f"{label} is no whole number")
    return int(text)


def parse_token(token: str, token_format: str) -> Claims:
    """What a token of a form says; it is not believed yet."""
    if len(token) > MAX_TOKEN_BYTES:
        raise TokenError(f"{len(token)} bytes, {MAX_TOKEN_BYTES} at most")
    if not token.isascii() or any(ord(char) < 0x21 or ord(char) == 0x7F for char in token):
        raise TokenError("characters that no token has")
    if token_format == "hmac":
        return _parse_hmac(token)
    if token_format == "policy":
        return _parse_policy(token)
    if token_format == "jwt":
        return _parse_jwt(token)
    raise TokenError(f"no form {token_format}")


def _parse_hmac(token: str) -> Claims:
    signing_input, separator, signature = token.rpartition("~hmac=")
    if not separator:
        raise TokenError("no hmac at its end")
    fields: dict[str, str] = {}
    parts = signing_input.split("~")
    if len(parts) > MAX_FIELDS:
        raise TokenError(f"{len(parts)} fields, {MAX_FIELDS} at most")
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or name in fields or name not in ("exp", "st", "acl", "id", "kid", "ip"):
            raise TokenError(f"a field {name[:20]!r}")
        fields[name] = value
    for name in ("exp", "acl", "kid"):
        if not fields.get(name):
            raise TokenError(f"{name} is missing")
    try:
        raw = bytes.fromhex(signature)
    except ValueError:
        raise TokenError("an hmac that is no hex") from None
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
        raise TokenError(f"{label} is no base64 for URLs")
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raise TokenError(f"{label} is no base64 for URLs") from None
    if base64.urlsafe_b64encode(data).rstrip(b"=").decode() != text:
        raise TokenError(
            f"{label} has bits that mean nothing"
        )  # else one token could be written in many ways
    return data


def _parse_json_object(data: bytes, label: str) -> dict[str, Any]:
    def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        out = dict(pairs)
        if len(out) < len(pairs):
            raise TokenError(f"{label} has a name twice")
        return out

    try:
        parsed = json.loads(data, object_pairs_hook=reject_duplicates)
    except (ValueError, RecursionError):
        raise TokenError(f"{label} is no JSON") from None
    if not isinstance(parsed, dict) or len(parsed) > 2 * MAX_FIELDS:
        raise TokenError(f"{label} is no object")
    return parsed


def _parse_strings(value: Any, label: str) -> tuple[str, ...]:
    parsed = [value] if isinstance(value, str) else value
    if (
        not isinstance(parsed, list)
        or len(parsed) > MAX_FIELDS
        or not all(isinstance(item, str) for item in parsed)
    ):
        raise TokenError(f"{label} is no text")
    return tuple(parsed)


def _parse_policy(token: str) -> Claims:
    parts = token.split(".")
    if len(parts) != 4:
        raise TokenError("expected policy.algorithm.key.signature")
    policy, algorithm, key_id, signature = parts
    parsed = _parse_json_object(_decode_base64url(policy, "the policy"), "the policy")
    unknown = set(parsed) - {"resource", "not_after", "not_before", "networks", "id"}
    if unknown:
        raise TokenError(f"the policy has {sorted(unknown)[0][:20]!r}")
    resource = _parse_strings(parsed.get("resource", ""), "resource")
    if not all(resource):
        raise TokenError("no resource")
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
        raise TokenError("a header without alg and kid")
    if set(header) - {"alg", "kid", "typ"}:
        raise TokenError("a header that asks for more than is known here")  # crit, jku, x5u and their like
    if parse_integer(claims.get("cdniv", 1), "cdniv") != 1:
        raise TokenError("a version that is not known here")
    if claims.get("cdnicrit"):
        raise TokenError("a critical claim that is not known here")
    container = _parse_strings(claims.get("cdniuc", ""), "cdniuc")[0]
    kind, _, container_value = container.partition(":")
    if kind not in ("hash", "regex") or not container_value:
        raise TokenError("no container of a URI")
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


# --- judging ---


def authorize(
    token: str,
    token_format: str,
    request: Request,
    keys: Mapping[str, VerificationKey],
    rules: Rules,
    now: int,
) -> Verdict:
    """May this req be answered by this link? Whatever comes in, a verdict comes out."""
    try:
        path = canonicalize(request.path)
    except PathError as error:
        return Verdict(False, f"path: {error}")
    if token_format not in rules.token_formats:
        return Verdict(False, f"form {token_format} is not allowed", path)
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
    """Why a signature is not believed; nothing where it is."""
    if claims.algorithm not in ALGORITHMS or claims.algorithm not in rules.algorithms:
        return f"algorithm {claims.algorithm[:20]!r} is not allowed"
    key = keys.get(claims.key_id)
    if key is None:
        return f"no key {claims.key_id[:40]!r}"
    if key.algorithm != claims.algorithm:
        return f"key {key.id} is for {key.algorithm}, not for {claims.algorithm}"
    if key.revoked:
        return f"key {key.id} is revoked"
    if not key.not_before - rules.skew <= now <= key.not_after + rules.skew:
        return f"key {key.id} is not valid now"
    if not key.check(claims.signing_input, claims.signature):
        return f"the signature is not one of key {key.id}"
    return ""


def request_denial(claims: Claims, request: Request, path: str, rules: Rules, now: int) -> str:
    """Why what was signed does not let this req in; nothing where it does."""
    if request.method not in rules.methods:
        return f"method {request.method[:20]} is not allowed by links"
    if rules.hosts and request.host not in rules.hosts:
        return f"host {request.host[:60]} is not one of links"
    if rules.issuers and claims.token_format == "jwt" and claims.issuer not in rules.issuers:
        return f"issuer {claims.issuer[:40]!r} is not known"
    if now > claims.expires_at + rules.skew:
        return f"expired {now - claims.expires_at} s ago"
    if now < claims.not_before - rules.skew:
        return f"not valid for another {claims.not_before - now} s"
    if claims.expires_at > now + MAX_VALIDITY_SECONDS:
        return "valid for longer than anybody signs"
    if claims.networks and not address_in_networks(request.address, claims.networks):
        return f"address {request.address[:60]!r} is in none of its networks"
    uri = f"//{request.host}{path}"
    if claims.uri_hash:
        return (
            ""
            if hmac.compare_digest(hashlib.sha256(uri.encode()).hexdigest(), claims.uri_hash.lower())
            else "another URI than that of its hash"
        )
    if claims.regex:
        covered = is_safe_regex(claims.regex) and re.fullmatch(claims.regex, uri)
        return "" if covered else "its container does not cover it"
    for pattern in claims.patterns:
        if pattern.startswith("//"):
            host, slash, rest = pattern[2:].partition("/")
            if host == request.host and pattern_matches(slash + rest, path):
                return ""
        elif pattern_matches(pattern, path):
            return ""
    return "no pattern covers it"


def is_safe_regex(regex: str) -> bool:
    """A regular expression that cannot take long: no groups that repeat, no references back."""
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
    """Is an address in one of some networks? A network that is none holds nobody."""
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
    """What a link is for, in words."""
    return claims.regex or claims.uri_hash or " ".join(claims.patterns)
