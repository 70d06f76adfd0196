"""Signed links: a table of cases, keys that change, and a slow plain checker beside mutated tokens."""

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
from lilacloft.sign.keys import SETTLES, Held, KeyFaultError, Keys, new, packed, sign, unpacked, verify
from lilacloft.sign.paths import DEEPEST, LONGEST, PathError, canonical, covers
from lilacloft.sign.verdict import FAR, SKEW, Key, Request, Rules, inside, judge, simple

NOW = 1_800_000_000
SECRET = hashlib.sha512(b"a secret of the tests").digest()
SHARED = Held("h1", "HS256", SECRET, state="in use")
PRIVATE = {name: new(name.lower(), name, b"", NOW) for name in ("EdDSA", "ES256", "RS256")}
ALL = Keys([SHARED, *PRIVATE.values()])
VERIFIERS = ALL.verifiers()
HEAD = {"alg": "HS256", "kid": "h1"}
MAP = Request("GET", "stops.example.org", "/map", "10.1.2.3")


def encoded(value):
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


def asked(token, form, request=MAP, now=NOW, rules=None, held=None):
    return judge(token, form, request, held or VERIFIERS, rules or Rules(), now)


# --- paths ---


@pytest.mark.parametrize(
    "path, want",
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
def test_a_path_has_one_form(path, want):
    assert canonical(path) == want == canonical(canonical(path))


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
        "/" + "a" * LONGEST,
        "/a" * (DEEPEST + 1),
        "/%E0%80%80",
    ],
)
def test_a_path_that_could_be_read_in_two_ways_is_refused(path):
    with pytest.raises(PathError):
        canonical(path)


@given(st.text(max_size=80))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_whatever_comes_as_a_path_is_canonical_or_refused(text):
    try:
        once = canonical(text)
    except PathError:
        return
    assert canonical(once) == once and ".." not in once.split("/") and "//" not in once


@pytest.mark.parametrize(
    "pattern, path, want",
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
        ("/" + "a" * LONGEST, "/a", False),
    ],
)
def test_patterns_cover_what_they_say(pattern, path, want):
    assert covers(pattern, path) is want


# --- the table ---


def link(form, ends=NOW + 600, **more):
    if form == "hmac":
        return hmac_link(SHARED, more.pop("patterns", ["/map"]), ends, **more)
    if form == "policy":
        return policy_link(PRIVATE["EdDSA"], more.pop("patterns", ["/map"]), ends, **more)
    return jwt_link(PRIVATE["ES256"], "stops.example.org", more.pop("path", "/map"), ends, **more)


CASES = {
    "as it was signed": ({}, {}, ""),
    "another path": ({}, {"path": "/fares"}, "cover|URI"),
    "a longer path": ({}, {"path": "/map/x"}, "cover|URI"),
    "a trailing slash": ({}, {"path": "/map/"}, "cover|URI"),
    "another case": ({}, {"path": "/MAP"}, "cover|URI"),
    "the same path, encoded": ({}, {"path": "/%6dap"}, ""),
    "a path with dots": ({}, {"path": "/x/../map"}, "path:"),
    "a doubly encoded path": ({}, {"path": "/%2566ap"}, "path:"),
    "another method": ({}, {"method": "POST"}, "method"),
    "a head of it": ({}, {"method": "HEAD"}, ""),
    "just before its end": ({"ends": NOW}, {}, ""),
    "within the skew": ({"ends": NOW - SKEW}, {}, ""),
    "past the skew": ({"ends": NOW - SKEW - 1}, {}, "expired"),
    "a kiosk four minutes fast": ({"begins": NOW + 240}, {}, "not valid for another 240 s"),
    "one that is a little fast": ({"begins": NOW + SKEW}, {}, ""),
    "valid for longer than anybody signs": ({"ends": NOW + FAR + 1}, {}, "longer"),
    "from its network": ({"net": "10.1.0.0/16"}, {}, ""),
    "from another network": ({"net": "10.2.0.0/16"}, {}, "networks"),
    "from nowhere": ({"net": "10.1.0.0/16"}, {"address": ""}, "networks"),
    "from its network, in the other form": ({"net": "10.1.0.0/16"}, {"address": "::ffff:10.1.2.3"}, ""),
    "from a network that is none": ({"net": "10.1.0.0/99"}, {}, "networks"),
}


@pytest.mark.parametrize("form", ["hmac", "policy", "jwt"])
@pytest.mark.parametrize("case", sorted(CASES))
def test_the_table(form, case):
    import re

    made, sent, want = CASES[case]
    made = dict(made)
    if net := made.pop("net", ""):
        made.update({"network": net} if form == "hmac" else {"networks": [net]})
    request = Request(
        **{"method": "GET", "host": "stops.example.org", "path": "/map", "address": "10.1.2.3", **sent}
    )
    got = asked(link(form, **made), form, request)
    assert got.allowed == (not want) and re.search(want, got.why)
    if got.allowed:
        assert got.until == made.get("ends", NOW + 600) + SKEW and got.path == "/map" and got.key


@pytest.mark.parametrize("form", ["hmac", "policy"])
def test_hosts_are_held_to_where_patterns_or_settings_name_them(form):
    token = link(form, patterns=["//stops.example.org/map", "//other.example.org/**"])
    assert asked(token, form).allowed
    assert not asked(token, form, Request("GET", "evil.example.org", "/map")).allowed
    assert asked(token, form, Request("GET", "other.example.org", "/any/thing")).allowed
    rules = Rules(hosts=("stops.example.org",))
    assert not asked(link(form), form, Request("GET", "evil.example.org", "/map"), rules=rules).allowed


def test_a_link_for_one_uri_or_a_container_holds_for_no_other_host():
    assert not asked(link("jwt"), "jwt", Request("GET", "evil.example.org", "/map")).allowed
    token = link("jwt", regex="//stops\\.example\\.org/video/[0-9]+", renew=30, once="j1", issuer="rides")
    got = asked(token, "jwt", Request("GET", "stops.example.org", "/video/12"))
    assert got.allowed and (got.renew, got.once) == (30, "j1")
    assert not asked(token, "jwt", Request("GET", "stops.example.org", "/video/x")).allowed
    assert asked(token, "jwt", MAP, rules=Rules(issuers=("other",))).why.startswith("issuer")
    assert simple("//a/[0-9]+") and not any(map(simple, ("(a+)+", "(a)\\1", "a" * 600, "(?i)a", "a**", "[")))


@pytest.mark.parametrize("algorithm", ["EdDSA", "ES256", "RS256"])
def test_each_algorithm_signs_and_no_key_serves_for_another(algorithm):
    held = PRIVATE[algorithm]
    assert asked(policy_link(held, ["/map"], NOW + 60), "policy").allowed
    parts = policy_link(held, ["/map"], NOW + 60).split(".")
    for other in {"EdDSA", "ES256", "RS256", "HS256", "none", ""} - {algorithm}:
        assert "not" in asked(".".join([parts[0], other, *parts[2:]]), "policy").why
    rules = Rules(algorithms=("HS256",))
    assert "is not allowed" in asked(policy_link(held, ["/map"], NOW + 60), "policy", rules=rules).why


def test_the_public_key_as_a_shared_secret_lets_nobody_in():
    """The oldest trick: HS256 with the text of a public key."""
    told = packed(Held("rs256", "RS256", PRIVATE["RS256"].public()))["material"].encode()
    head = base64.urlsafe_b64encode(b'{"alg":"HS256","kid":"rs256"}').rstrip(b"=")
    claims = encoded({"cdniuc": "regex:.*", "exp": NOW + 60}).encode()
    signature = base64.urlsafe_b64encode(hmac.new(told, head + b"." + claims, hashlib.sha256).digest())
    token = b".".join([head, claims, signature.rstrip(b"=")]).decode()
    assert "is for RS256, not for HS256" in asked(token, "jwt").why


def test_what_a_well_known_library_signs_is_read_and_the_other_way():
    claims = {"cdniuc": "regex://stops\\.example\\.org/map", "exp": NOW + 60}
    token = jwt.encode(claims, SECRET, "HS256", {"kid": "h1"})
    assert asked(token, "jwt").allowed
    ours = jwt_link(PRIVATE["EdDSA"], "stops.example.org", "/map", NOW + 60)
    read = jwt.decode(ours, PRIVATE["EdDSA"].public(), ["EdDSA"], options={"verify_exp": False})
    assert read["exp"] == NOW + 60


@pytest.mark.parametrize(
    "token, form, told",
    [
        ("", "hmac", "no hmac"),
        ("x" * 5000, "jwt", "4096 at most"),
        ("a b", "jwt", "characters"),
        ("exp=1~acl=/map~hmac=00", "hmac", "kid is missing"),
        ("exp=x~acl=/a~kid=h1~hmac=00", "hmac", "whole number"),
        ("exp=1~exp=2~acl=/a~kid=h1~hmac=00", "hmac", "a field 'exp'"),
        ("~" * 40 + "~hmac=00", "hmac", "fields"),
        ("exp=1~acl=/a~kid=h1~hmac=zz", "hmac", "no hex"),
        ("exp=1~acl=/a~kid=h1~evil=1~hmac=00", "hmac", "'evil'"),
        ("a.b", "jwt", "expected header"),
        ("a.b.c", "policy", "expected policy"),
        ("!!.e30.", "jwt", "base64"),
        ("e30.e30.", "jwt", "alg and kid"),
        ("W10.e30.", "jwt", "no object"),
        ("e3t7.e30.", "jwt", "no JSON"),
        ("e30.EdDSA.k.AA", "policy", "no resource"),
        ("AB.EdDSA.k.AA", "policy", "mean nothing"),
        ("x", "morse", "not allowed"),
    ],
)
def test_malformed_tokens_are_denied_with_a_reason(token, form, told):
    got = asked(token, form)
    assert not got.allowed and told in got.why


@pytest.mark.parametrize(
    "head, claims, told",
    [
        ({"alg": "HS256", "kid": "h1", "crit": ["x"]}, {}, "asks for more"),
        ({"alg": "HS256", "kid": "h1", "jku": "http://x"}, {}, "asks for more"),
        ({"alg": "none", "kid": "h1"}, {}, "'none' is not allowed"),
        ({"alg": ["HS256"]}, {}, "alg and kid"),
        ({"alg": "HS256", "kid": "h9"}, {}, "no key 'h9'"),
        (HEAD, {"exp": True}, "whole"),
        (HEAD, {"exp": 1.5}, "whole"),
        (HEAD, {"exp": -1}, "whole"),
        (HEAD, {"cdniv": 2}, "version"),
        (HEAD, {"cdnicrit": ["a"]}, "critical"),
        (HEAD, {"cdniuc": "all:"}, "container"),
        (HEAD, {"cdniip": 5}, "no text"),
        (HEAD, {}, "signature"),
    ],
)
def test_claims_and_headers_that_ask_for_trouble_are_denied(head, claims, told):
    token = f"{encoded(head)}.{encoded({'cdniuc': 'regex:.*', 'exp': NOW + 60, **claims})}.AA"
    got = asked(token, "jwt")
    assert not got.allowed and told in got.why
    twice = base64.urlsafe_b64encode(b'{"alg":"none","alg":"HS256","kid":"h1"}').rstrip(b"=").decode()
    assert "twice" in asked(f"{twice}.e30.AA", "jwt").why


# --- beside a slow plain checker ---


def plainly(token, request, now):
    """The HMAC form in the plainest words: True only where everything is as it must be."""
    pieces = token.split("~hmac=")
    if len(pieces) != 2 or len(token) > 4096:
        return False
    want = hmac.new(SECRET, pieces[0].encode("utf-8", "surrogatepass"), hashlib.sha256).hexdigest()
    if pieces[1].lower() != want:
        return False
    fields = dict(part.split("=", 1) for part in pieces[0].split("~"))
    return (
        fields["kid"] == "h1"
        and int(fields["exp"]) + SKEW >= now
        and "/map" in fields["acl"].split("!")
        and request.path == "/map"
        and request.method in ("GET", "HEAD")
    )


ALPHABET = string.ascii_letters + string.digits + "~=!/.%*-_ \x00é"


@given(st.data())
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_no_mutated_token_is_let_in_that_the_plain_checker_denies(data):
    token = hmac_link(SHARED, ["/map"], NOW + data.draw(st.integers(-100, 100)))
    for _ in range(data.draw(st.integers(0, 3))):
        at = data.draw(st.integers(0, len(token)))
        cut = data.draw(st.integers(0, 6))
        token = token[:at] + data.draw(st.text(ALPHABET, max_size=4)) + token[at + cut :]
    got = asked(token, "hmac")
    if got.allowed:
        assert plainly(token, MAP, NOW)


@given(st.text(max_size=300), st.sampled_from(["hmac", "policy", "jwt"]))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_no_text_is_let_in_or_breaks_anything(token, form):
    assert not asked(token, form).allowed


@given(st.sampled_from(["policy", "jwt"]), st.integers(0, 400), st.sampled_from(string.ascii_letters + "-_."))
@settings(max_examples=600, deadline=None, derandomize=True)
def test_no_token_with_one_character_changed_is_let_in(form, at, char):
    token = link(form)
    at %= len(token)
    changed = token[:at] + char + token[at + 1 :]
    assert changed == token or not asked(changed, form).allowed


# --- keys ---


def test_a_rotation_loses_no_link_and_a_revoked_key_lets_nobody_in():
    first, second = new("k1", "HS256", SECRET, NOW), new("k2", "HS256", SECRET[::-1], NOW)
    keys = Keys([first])
    keys.use("k1", NOW, force=True)
    old = hmac_link(keys.signer(NOW), ["/map"], NOW + 3600)
    with pytest.raises(KeyFaultError, match="last that signs"):
        keys.retire("k1", NOW, 3600)
    keys.add(second)
    with pytest.raises(KeyFaultError, match="published 0 s ago"):
        keys.use("k2", NOW)
    assert keys.signer(NOW).id == "k1"
    keys.use("k2", NOW + SETTLES)
    assert keys.signer(NOW + SETTLES).id == "k2"
    fresh = hmac_link(keys.signer(NOW + SETTLES), ["/map"], NOW + 3600)
    keys.retire("k1", NOW + SETTLES, 3600)
    for token in (old, fresh):
        assert asked(token, "hmac", now=NOW + 3000, held=keys.verifiers()).allowed
    late = asked(old, "hmac", now=NOW + SETTLES + 3600 + SKEW + 1, held=keys.verifiers())
    assert not late.allowed
    keys.revoke("k2", NOW)
    assert "revoked" in asked(fresh, "hmac", held=keys.verifiers()).why
    with pytest.raises(KeyFaultError, match="no key is in use"):
        keys.signer(NOW + SETTLES)
    assert keys.forget(NOW + 200_000) == ["k1"] and set(keys.held) == {"k2"}


@pytest.mark.parametrize("algorithm", ["HS256", "EdDSA", "ES256", "RS256"])
def test_a_key_that_was_written_reads_the_same_and_never_shows_itself(algorithm):
    held = new("k", algorithm, SECRET, NOW)
    again = unpacked(json.loads(json.dumps(packed(held))))
    assert verify(again, b"data", sign(held, b"data")) and not verify(again, b"other", sign(held, b"data"))
    assert SECRET.hex() not in repr(held) and "object" not in repr(held)
    assert "BEGIN PRIVATE KEY" in packed(held)["material"] or algorithm == "HS256"
    public = Held("p", algorithm, held.public())
    assert algorithm == "HS256" or not public.signs()


@pytest.mark.parametrize(
    "change, told",
    [
        ({"algorithm": "none"}, "one of HS256|read"),
        ({"material": "00"}, "32 at least"),
        ({"id": "a b"}, "letters"),
        ({"state": "lost"}, "a state"),
        ({"not_after": 0}, "valid never"),
        ({"algorithm": "EdDSA"}, "another kind|read"),
        ({"material": "zz"}, "cannot be read"),
        ({"not_before": "x"}, "cannot be read"),
    ],
)
def test_what_is_no_key_is_told_without_its_material(change, told):
    import re

    row = {**packed(new("k", "HS256", SECRET, NOW)), **change}
    with pytest.raises(KeyFaultError) as wrong:
        Keys([unpacked(row)])
    assert re.search(told, str(wrong.value)) and SECRET.hex()[:20] not in str(wrong.value)


def test_sets_refuse_twins_weak_keys_and_show_public_keys_only():
    with pytest.raises(KeyFaultError, match="two keys"):
        Keys([SHARED, SHARED])
    with pytest.raises(KeyFaultError, match="lacks algorithm"):
        unpacked({"id": "k", "material": ""})
    from cryptography.hazmat.primitives.asymmetric import ec, rsa

    for algorithm, material in (
        ("RS256", rsa.generate_private_key(65537, 1024)),
        ("ES256", ec.generate_private_key(ec.SECP384R1())),
    ):
        with pytest.raises(KeyFaultError):
            keyring.checked(algorithm, material)
    told = ALL.jwks()["keys"]
    assert {one["kid"] for one in told} == {"eddsa", "es256", "rs256"} and not any("d" in one for one in told)
    assert isinstance(VERIFIERS["h1"], Key) and inside("2001:db8::1", ["2001:db8::/32"])
    assert not inside("x", ["10.0.0.0/8"])
