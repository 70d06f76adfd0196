"""Signed links: requests that tokens authorize, key rotation, mutated tokens against a reference check."""

import base64
import hashlib
import hmac
import json
import string

import jwt
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacloft.sign import keys as keyring
from lilacloft.sign.issue import hmac_link, jwt_link, policy_link
from lilacloft.sign.keys import (
    PROPAGATION_SECONDS,
    KeyRecord,
    KeySet,
    SigningKeyError,
    deserialize_key,
    generate_key,
    serialize_key,
    sign,
    verify,
)
from lilacloft.sign.paths import MAX_PATH_BYTES, MAX_SEGMENTS, PathError, canonicalize, pattern_matches
from lilacloft.sign.verdict import (
    CLOCK_SKEW_SECONDS,
    MAX_VALIDITY_SECONDS,
    Request,
    Rules,
    VerificationKey,
    address_in_networks,
    authorize,
    is_safe_regex,
)

NOW = 1_800_000_000
SECRET = hashlib.sha512(b"a secret of the tests").digest()
HMAC_KEY = KeyRecord("h1", "HS256", SECRET, state="in use")
PRIVATE_KEYS = {name: generate_key(name.lower(), name, b"", NOW) for name in ("EdDSA", "ES256", "RS256")}
KEY_SET = KeySet([HMAC_KEY, *PRIVATE_KEYS.values()])
VERIFICATION_KEYS = KEY_SET.verification_keys()
JWT_HEADER = {"alg": "HS256", "kid": "h1"}
MAP_REQUEST = Request("GET", "stops.example.org", "/map", "10.1.2.3")


def encode_json(value):
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


def decide(token, token_format, request=MAP_REQUEST, now=NOW, rules=None, keys=None):
    return authorize(token, token_format, request, keys or VERIFICATION_KEYS, rules or Rules(), now)


# --- paths ---


@pytest.mark.parametrize(
    "path, expected",
    [
        ("/map", "/map"),
        ("/map/", "/map/"),
        ("/", "/"),
        ("/%6Dap", "/map"),
        ("/a%2db", "/a-b"),
        ("/%c3%a9", "/%C3%A9"),
        ("/a:b@c", "/a:b@c"),
        ("/MAP", "/MAP"),
        ("/a%20b", "/a%20b"),
    ],
)
def test_canonical_form_of_paths(path, expected):
    assert canonicalize(path) == expected == canonicalize(canonicalize(path))


@pytest.mark.parametrize(
    "path",
    [
        "map",
        "",
        "/../etc",
        "/a/../b",
        "/a/.",
        "/.",
        "/a//b",
        "//a",
        "/%2e%2e/b",
        "/a%2fb",
        "/a%5cb",
        "/a\\b",
        "/%252e",
        "/%zz",
        "/%2",
        "/a?b",
        "/a#b",
        "/a\x00",
        "/%00",
        "/%7f",
        "/é",
        "/%ff",
        "/a b",
        "/" + "a" * MAX_PATH_BYTES,
        "/a" * (MAX_SEGMENTS + 1),
        "/%E0%80%80",
    ],
)
def test_invalid_and_ambiguous_paths_are_rejected(path):
    with pytest.raises(PathError):
        canonicalize(path)


@given(st.text(max_size=80))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_any_text_is_canonicalized_or_rejected(text):
    try:
        canonical_text = canonicalize(text)
    except PathError:
        return
    assert (
        canonicalize(canonical_text) == canonical_text
        and ".." not in canonical_text.split("/")
        and "//" not in canonical_text
    )


@pytest.mark.parametrize(
    "pattern, path, expected",
    [
        ("/map", "/map", True),
        ("/map", "/map/", False),
        ("/map", "/Map", False),
        ("/video/*", "/video/1", True),
        ("/video/*", "/video/1/2", False),
        ("/video/**", "/video/1/2", True),
        ("/v?deo", "/video", True),
        ("/v?deo", "/v/deo", False),
        ("/a.b", "/axb", False),
        ("/**/x/**/y/**", "/a/x/b/y/c", False),
        ("*" * 17, "/a", False),
        ("/" + "a" * MAX_PATH_BYTES, "/a", False),
    ],
)
def test_pattern_matching(pattern, path, expected):
    assert pattern_matches(pattern, path) is expected


# --- requests and tokens ---


def make_link(token_format, expires_at=NOW + 600, **options):
    if token_format == "hmac":
        return hmac_link(HMAC_KEY, options.pop("patterns", ["/map"]), expires_at, **options)
    if token_format == "policy":
        return policy_link(PRIVATE_KEYS["EdDSA"], options.pop("patterns", ["/map"]), expires_at, **options)
    return jwt_link(
        PRIVATE_KEYS["ES256"], "stops.example.org", options.pop("path", "/map"), expires_at, **options
    )


CASES = {
    "exactly as signed": ({}, {}, ""),
    "different path": ({}, {"path": "/fares"}, "the URI does not match the hash|no pattern matches the URI"),
    "longer path": ({}, {"path": "/map/x"}, "the URI does not match the hash|no pattern matches the URI"),
    "added trailing slash": (
        {},
        {"path": "/map/"},
        "the URI does not match the hash|no pattern matches the URI",
    ),
    "path in upper case": (
        {},
        {"path": "/MAP"},
        "the URI does not match the hash|no pattern matches the URI",
    ),
    "same path, percent-encoded": ({}, {"path": "/%6dap"}, ""),
    "path with dot segments": ({}, {"path": "/x/../map"}, "path:"),
    "doubly encoded path": ({}, {"path": "/%2566ap"}, "path:"),
    "method not allowed": ({}, {"method": "POST"}, "method"),
    "HEAD request": ({}, {"method": "HEAD"}, ""),
    "at its expiry": ({"expires_at": NOW}, {}, ""),
    "expired within the clock skew": ({"expires_at": NOW - CLOCK_SKEW_SECONDS}, {}, ""),
    "expired beyond the clock skew": ({"expires_at": NOW - CLOCK_SKEW_SECONDS - 1}, {}, "expired"),
    "issued by a clock four minutes fast": ({"not_before": NOW + 240}, {}, "not valid for another 240 s"),
    "issued by a clock fast by the tolerated skew": ({"not_before": NOW + CLOCK_SKEW_SECONDS}, {}, ""),
    "validity too long": (
        {"expires_at": NOW + MAX_VALIDITY_SECONDS + 1},
        {},
        "too far in the future",
    ),
    "address in the network": ({"net": "10.1.0.0/16"}, {}, ""),
    "address in another network": ({"net": "10.2.0.0/16"}, {}, "networks"),
    "no address": ({"net": "10.1.0.0/16"}, {"address": ""}, "networks"),
    "IPv4-mapped address in the network": ({"net": "10.1.0.0/16"}, {"address": "::ffff:10.1.2.3"}, ""),
    "invalid network": ({"net": "10.1.0.0/99"}, {}, "networks"),
}


@pytest.mark.parametrize("token_format", ["hmac", "policy", "jwt"])
@pytest.mark.parametrize("case", sorted(CASES))
def test_requests_that_tokens_authorize(token_format, case):
    import re

    link_options, request_options, expected = CASES[case]
    link_options = dict(link_options)
    if net := link_options.pop("net", ""):
        link_options.update({"network": net} if token_format == "hmac" else {"networks": [net]})
    request = Request(
        **{
            "method": "GET",
            "host": "stops.example.org",
            "path": "/map",
            "address": "10.1.2.3",
            **request_options,
        }
    )
    verdict = decide(make_link(token_format, **link_options), token_format, request)
    assert verdict.allowed == (not expected) and re.search(expected, verdict.reason)
    if verdict.allowed:
        assert (
            verdict.valid_until == link_options.get("expires_at", NOW + 600) + CLOCK_SKEW_SECONDS
            and verdict.path == "/map"
            and verdict.key_id
        )


@pytest.mark.parametrize("token_format", ["hmac", "policy"])
def test_hosts_are_restricted_by_patterns_and_settings(token_format):
    token = make_link(token_format, patterns=["//stops.example.org/map", "//other.example.org/**"])
    assert decide(token, token_format).allowed
    assert not decide(token, token_format, Request("GET", "evil.example.org", "/map")).allowed
    assert decide(token, token_format, Request("GET", "other.example.org", "/any/thing")).allowed
    rules = Rules(hosts=("stops.example.org",))
    assert not decide(
        make_link(token_format), token_format, Request("GET", "evil.example.org", "/map"), rules=rules
    ).allowed


def test_a_jwt_link_is_valid_for_the_uris_of_its_container_only():
    assert not decide(make_link("jwt"), "jwt", Request("GET", "evil.example.org", "/map")).allowed
    token = make_link(
        "jwt", regex="//stops\\.example\\.org/video/[0-9]+", renewal_seconds=30, token_id="j1", issuer="rides"
    )
    verdict = decide(token, "jwt", Request("GET", "stops.example.org", "/video/12"))
    assert verdict.allowed and (verdict.renewal_seconds, verdict.token_id) == (30, "j1")
    assert not decide(token, "jwt", Request("GET", "stops.example.org", "/video/x")).allowed
    assert decide(token, "jwt", MAP_REQUEST, rules=Rules(issuers=("other",))).reason.startswith("issuer")
    assert is_safe_regex("//a/[0-9]+") and not any(
        map(is_safe_regex, ("(a+)+", "(a)\\1", "a" * 600, "(?i)a", "a**", "["))
    )


@pytest.mark.parametrize("algorithm", ["EdDSA", "ES256", "RS256"])
def test_a_key_is_not_accepted_for_another_algorithm(algorithm):
    key = PRIVATE_KEYS[algorithm]
    assert decide(policy_link(key, ["/map"], NOW + 60), "policy").allowed
    parts = policy_link(key, ["/map"], NOW + 60).split(".")
    for other in {"EdDSA", "ES256", "RS256", "HS256", "none", ""} - {algorithm}:
        assert "not" in decide(".".join([parts[0], other, *parts[2:]]), "policy").reason
    rules = Rules(algorithms=("HS256",))
    assert "is not allowed" in decide(policy_link(key, ["/map"], NOW + 60), "policy", rules=rules).reason


def test_a_public_key_is_not_accepted_as_an_hmac_secret():
    """Algorithm confusion: an HS256 token signed with the PEM text of an RSA public key is denied."""
    pem = serialize_key(KeyRecord("rs256", "RS256", PRIVATE_KEYS["RS256"].public_material()))[
        "material"
    ].encode()
    header = base64.urlsafe_b64encode(b'{"alg":"HS256","kid":"rs256"}').rstrip(b"=")
    claims = encode_json({"cdniuc": "regex:.*", "exp": NOW + 60}).encode()
    signature = base64.urlsafe_b64encode(hmac.new(pem, header + b"." + claims, hashlib.sha256).digest())
    token = b".".join([header, claims, signature.rstrip(b"=")]).decode()
    assert "is for RS256, not for HS256" in decide(token, "jwt").reason


def test_jwt_links_are_interoperable_with_pyjwt():
    claims = {"cdniuc": "regex://stops\\.example\\.org/map", "exp": NOW + 60}
    token = jwt.encode(claims, SECRET, "HS256", {"kid": "h1"})
    assert decide(token, "jwt").allowed
    ours = jwt_link(PRIVATE_KEYS["EdDSA"], "stops.example.org", "/map", NOW + 60)
    decoded = jwt.decode(
        ours, PRIVATE_KEYS["EdDSA"].public_material(), ["EdDSA"], options={"verify_exp": False}
    )
    assert decoded["exp"] == NOW + 60


@pytest.mark.parametrize(
    "token, token_format, message",
    [
        ("", "hmac", "no hmac field"),
        ("x" * 5000, "jwt", "5000 bytes exceed the limit of 4096"),
        ("a b", "jwt", "control or non-ASCII characters"),
        ("exp=1~acl=/map~hmac=00", "hmac", "kid is missing"),
        ("exp=x~acl=/a~kid=h1~hmac=00", "hmac", "exp is not an integer"),
        ("exp=1~exp=2~acl=/a~kid=h1~hmac=00", "hmac", "field 'exp'"),
        ("~" * 40 + "~hmac=00", "hmac", "41 fields exceed"),
        ("exp=1~acl=/a~kid=h1~hmac=zz", "hmac", "hmac is not hexadecimal"),
        ("exp=1~acl=/a~kid=h1~evil=1~hmac=00", "hmac", "'evil'"),
        ("a.b", "jwt", "expected header"),
        ("a.b.c", "policy", "expected policy"),
        ("!!.e30.", "jwt", "is not valid base64url"),
        ("e30.e30.", "jwt", "alg is missing"),
        ("W10.e30.", "jwt", "is not a JSON object"),
        ("e3t7.e30.", "jwt", "is not valid JSON"),
        ("e30.EdDSA.k.AA", "policy", "resource is missing"),
        ("AB.EdDSA.k.AA", "policy", "is not canonical base64url"),
        ("x", "morse", "not allowed"),
    ],
)
def test_malformed_tokens_are_denied_with_a_reason(token, token_format, message):
    verdict = decide(token, token_format)
    assert not verdict.allowed and message in verdict.reason


@pytest.mark.parametrize(
    "header, claims, message",
    [
        ({"alg": "HS256", "kid": "h1", "crit": ["x"]}, {}, "unsupported parameters"),
        ({"alg": "HS256", "kid": "h1", "jku": "http://x"}, {}, "unsupported parameters"),
        ({"alg": "none", "kid": "h1"}, {}, "'none' is not allowed"),
        ({"alg": ["HS256"]}, {}, "alg or kid is not a string"),
        ({"alg": "HS256", "kid": "h9"}, {}, "unknown key 'h9'"),
        (JWT_HEADER, {"exp": True}, "is not an integer"),
        (JWT_HEADER, {"exp": 1.5}, "is not an integer"),
        (JWT_HEADER, {"exp": -1}, "is not an integer"),
        (JWT_HEADER, {"cdniv": 2}, "version"),
        (JWT_HEADER, {"cdnicrit": ["a"]}, "critical"),
        (JWT_HEADER, {"cdniuc": "all:"}, "container"),
        (JWT_HEADER, {"cdniip": 5}, "cdniip is not a string or a list"),
        (JWT_HEADER, {}, "signature"),
    ],
)
def test_invalid_headers_and_claims_are_denied(header, claims, message):
    token = f"{encode_json(header)}.{encode_json({'cdniuc': 'regex:.*', 'exp': NOW + 60, **claims})}.AA"
    verdict = decide(token, "jwt")
    assert not verdict.allowed and message in verdict.reason
    twice = base64.urlsafe_b64encode(b'{"alg":"none","alg":"HS256","kid":"h1"}').rstrip(b"=").decode()
    assert "duplicate name" in decide(f"{twice}.e30.AA", "jwt").reason


# --- against a reference check ---


def reference_check(token, request, now):
    """A minimal independent check of `hmac` tokens for /map."""
    pieces = token.split("~hmac=")
    if len(pieces) != 2 or len(token) > 4096:
        return False
    expected = hmac.new(SECRET, pieces[0].encode("utf-8", "surrogatepass"), hashlib.sha256).hexdigest()
    if pieces[1].lower() != expected:
        return False
    fields = dict(part.split("=", 1) for part in pieces[0].split("~"))
    return (
        fields["kid"] == "h1"
        and int(fields["exp"]) + CLOCK_SKEW_SECONDS >= now
        and "/map" in fields["acl"].split("!")
        and request.path == "/map"
        and request.method in ("GET", "HEAD")
    )


ALPHABET = string.ascii_letters + string.digits + "~=!/.%*-_ \x00é"


@given(st.data())
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_mutated_tokens_are_allowed_only_if_the_reference_check_allows_them(data):
    token = hmac_link(HMAC_KEY, ["/map"], NOW + data.draw(st.integers(-100, 100)))
    for _ in range(data.draw(st.integers(0, 3))):
        position = data.draw(st.integers(0, len(token)))
        removed = data.draw(st.integers(0, 6))
        token = token[:position] + data.draw(st.text(ALPHABET, max_size=4)) + token[position + removed :]
    verdict = decide(token, "hmac")
    if verdict.allowed:
        assert reference_check(token, MAP_REQUEST, NOW)


@given(st.text(max_size=300), st.sampled_from(["hmac", "policy", "jwt"]))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_any_text_as_a_token_is_denied(token, token_format):
    assert not decide(token, token_format).allowed


@given(st.sampled_from(["policy", "jwt"]), st.integers(0, 400), st.sampled_from(string.ascii_letters + "-_."))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_tokens_with_one_changed_character_are_denied(token_format, position, char):
    token = make_link(token_format)
    position %= len(token)
    changed = token[:position] + char + token[position + 1 :]
    assert changed == token or not decide(changed, token_format).allowed


# --- keys ---


def test_links_stay_valid_through_key_rotation_until_expiry_or_revocation():
    first, second = generate_key("k1", "HS256", SECRET, NOW), generate_key("k2", "HS256", SECRET[::-1], NOW)
    keys = KeySet([first])
    keys.activate("k1", NOW, force=True)
    old = hmac_link(keys.signing_key(NOW), ["/map"], NOW + 3600)
    with pytest.raises(SigningKeyError, match="last key in use"):
        keys.retire("k1", NOW, 3600)
    keys.add(second)
    with pytest.raises(SigningKeyError, match="published 0 s ago"):
        keys.activate("k2", NOW)
    assert keys.signing_key(NOW).id == "k1"
    keys.activate("k2", NOW + PROPAGATION_SECONDS)
    assert keys.signing_key(NOW + PROPAGATION_SECONDS).id == "k2"
    fresh = hmac_link(keys.signing_key(NOW + PROPAGATION_SECONDS), ["/map"], NOW + 3600)
    keys.retire("k1", NOW + PROPAGATION_SECONDS, 3600)
    for token in (old, fresh):
        assert decide(token, "hmac", now=NOW + 3000, keys=keys.verification_keys()).allowed
    late = decide(
        old,
        "hmac",
        now=NOW + PROPAGATION_SECONDS + 3600 + CLOCK_SKEW_SECONDS + 1,
        keys=keys.verification_keys(),
    )
    assert not late.allowed
    keys.revoke("k2", NOW)
    assert "revoked" in decide(fresh, "hmac", keys=keys.verification_keys()).reason
    with pytest.raises(SigningKeyError, match="no signing key is in use"):
        keys.signing_key(NOW + PROPAGATION_SECONDS)
    assert keys.remove_expired(NOW + 200_000) == ["k1"] and set(keys.by_id) == {"k2"}


@pytest.mark.parametrize("algorithm", ["HS256", "EdDSA", "ES256", "RS256"])
def test_keys_are_serialized_and_their_repr_hides_the_material(algorithm):
    key = generate_key("k", algorithm, SECRET, NOW)
    again = deserialize_key(json.loads(json.dumps(serialize_key(key))))
    assert verify(again, b"data", sign(key, b"data")) and not verify(again, b"other", sign(key, b"data"))
    assert SECRET.hex() not in repr(key) and "object" not in repr(key)
    assert "BEGIN PRIVATE KEY" in serialize_key(key)["material"] or algorithm == "HS256"
    public = KeyRecord("p", algorithm, key.public_material())
    assert algorithm == "HS256" or not public.can_sign()


@pytest.mark.parametrize(
    "change, message",
    [
        ({"algorithm": "none"}, "one of HS256|cannot be parsed"),
        ({"material": "00"}, "at least 32 required"),
        ({"id": "a b"}, "is not 1 to 64 letters"),
        ({"state": "lost"}, "unknown state"),
        ({"not_after": 0}, "is never valid"),
        ({"algorithm": "EdDSA"}, "key type does not match|cannot be parsed"),
        ({"material": "zz"}, "cannot be parsed"),
        ({"not_before": "x"}, "cannot be parsed"),
    ],
)
def test_errors_about_invalid_keys_do_not_contain_the_material(change, message):
    import re

    row = {**serialize_key(generate_key("k", "HS256", SECRET, NOW)), **change}
    with pytest.raises(SigningKeyError) as error:
        KeySet([deserialize_key(row)])
    assert re.search(message, str(error.value)) and SECRET.hex()[:20] not in str(error.value)


def test_duplicate_and_weak_keys_are_rejected_and_the_jwk_set_holds_public_keys_only():
    with pytest.raises(SigningKeyError, match="duplicate key id"):
        KeySet([HMAC_KEY, HMAC_KEY])
    with pytest.raises(SigningKeyError, match="is missing algorithm"):
        deserialize_key({"id": "k", "material": ""})
    from cryptography.hazmat.primitives.asymmetric import ec, rsa

    for algorithm, material in (
        ("RS256", rsa.generate_private_key(65537, 1024)),
        ("ES256", ec.generate_private_key(ec.SECP384R1())),
    ):
        with pytest.raises(SigningKeyError):
            keyring.check_key_material(algorithm, material)
    jwks = KEY_SET.jwks()["keys"]
    assert {jwk["kid"] for jwk in jwks} == {"eddsa", "es256", "rs256"} and not any("d" in jwk for jwk in jwks)
    assert isinstance(VERIFICATION_KEYS["h1"], VerificationKey) and address_in_networks(
        "2001:db8::1", ["2001:db8::/32"]
    )
    assert not address_in_networks("x", ["10.0.0.0/8"])
