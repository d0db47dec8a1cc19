"""The command ``call``, whose exit code tells a script whether it may retry."""

import hashlib
import io

import pytest
from aioquic.h3.connection import ErrorCode

from cranberryhold.call import CallOptions, run_call
from cranberryhold.exit_codes import ExitCode
from tests.h3_service import h3_service


async def respond(incoming):
    await incoming.body_received.wait()
    match incoming.path:
        case "/refuse":
            incoming.respond(503, b"no slot", cranberryhold_outcome="not-run")
        case "/lose":
            incoming.reset(ErrorCode.H3_INTERNAL_ERROR)
        case "/missing":
            incoming.respond(404, b"not here")
        case "/lines" if "idempotency-key" not in incoming.headers:
            incoming.respond(
                428, cranberryhold_outcome="not-run", idempotency_key="fresh"
            )
        case "/feed":
            incoming.respond(200, b'{"sequence": 1}\n{"sequence": 2}\n')
        case "/.well-known/cranberryhold/idempotency-key":
            incoming.respond(200, b"sealed-key")
        case _:
            digest = hashlib.sha256(incoming.body).hexdigest()
            key = incoming.headers.get("idempotency-key", "")
            method = incoming.headers[":method"]
            incoming.respond(200, f"{method} {digest} {key}".encode())


@pytest.fixture
async def service(files):
    async with h3_service(files, respond) as service:
        yield service


@pytest.fixture
def call(service, files):
    async def run(path, **options):
        url = service.url + path
        return await run_call(
            CallOptions(url, ca_file=str(files.certificate), **options)
        )

    return run


@pytest.mark.parametrize(
    ("path", "options", "code"),
    [
        ("/", {}, ExitCode.DONE),
        ("/missing", {}, ExitCode.FAILED),
        ("/refuse", {}, ExitCode.NOT_RUN),
        ("/lose", {"method": "POST"}, ExitCode.OUTCOME_UNKNOWN),
        ("/", {"headers": ("no value",)}, ExitCode.USAGE),
        ("/", {"upload": "/no/such/file"}, ExitCode.USAGE),
        ("/", {"upload": "a", "data": "b"}, ExitCode.USAGE),
    ],
)
async def test_exit_codes(call, path, options, code):
    assert await call(path, **options) == code


async def test_a_service_that_refuses_the_connection_was_not_reached(service):
    """The system's certificate authorities don't include that of the test."""
    assert await run_call(CallOptions(service.url)) == ExitCode.NOT_REACHED


async def test_another_scheme_is_a_usage_error():
    assert await run_call(CallOptions("http://127.0.0.1:1/")) == ExitCode.USAGE


async def test_the_response_is_written_to_a_file(call, tmp_path):
    output = tmp_path / "answer"
    await call("/", data="line", output=str(output))
    digest = hashlib.sha256(b"line").hexdigest()
    assert output.read_text() == f"POST {digest} "


async def test_at_most_once_prints_the_key_that_it_uses(call, capsysbinary):
    await call("/lines", data="x", at_most_once=True)
    output = capsysbinary.readouterr()
    assert output.err == b"idempotency-key: sealed-key\n"
    assert output.out.endswith(b" sealed-key")


async def test_a_key_that_the_service_requires_is_printed(call, capsysbinary):
    assert await call("/lines", data="x") == ExitCode.NOT_RUN
    assert b"idempotency-key: fresh\n" in capsysbinary.readouterr().err


async def test_a_deadline_before_the_connection_means_not_reached():
    """Nothing listens on that port, so the request has certainly not run."""
    options = CallOptions("https://127.0.0.1:9/", insecure=True, deadline_s=0.1)
    assert await run_call(options) == ExitCode.NOT_REACHED


async def test_an_upload_shows_progress_on_a_terminal_only(
    call, tmp_path, monkeypatch, capsysbinary
):
    class Terminal(io.StringIO):
        def isatty(self):
            return True

    photo = tmp_path / "photo"
    photo.write_bytes(bytes(300_000))
    assert await call("/upload", upload=str(photo)) == ExitCode.DONE
    assert capsysbinary.readouterr().err == b""
    terminal = Terminal()
    monkeypatch.setattr("sys.stderr", terminal)
    assert await call("/upload", upload=str(photo)) == ExitCode.DONE
    assert "100%" in terminal.getvalue()
    digest = hashlib.sha256(bytes(300_000)).hexdigest().encode()
    assert digest in capsysbinary.readouterr().out


async def test_a_feed_is_printed_line_by_line(call, capsysbinary):
    assert await call("/feed", follow=True) == ExitCode.DONE
    assert capsysbinary.readouterr().out == b'{"sequence": 1}\n{"sequence": 2}\n'
