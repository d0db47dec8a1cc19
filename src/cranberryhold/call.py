"""The command ``cranberryhold call``, which sends one request."""

import asyncio
import logging
import sys
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from tqdm import tqdm

from cranberryhold.caller import DEFAULT_DEADLINE_S, Body, BufferedResponse, Caller
from cranberryhold.exceptions import (
    CranberryholdError,
    KeyRequiredError,
    NotRunError,
    SettingsError,
)
from cranberryhold.exit_codes import ExitCode, exit_code
from cranberryhold.requests.exchange import IDEMPOTENCY_KEY_HEADER, Headers

_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of the command; argparse's namespace has attributes of the same names.

    :param url: ``https://host:port/path``.
    :param method: HTTP method; None for POST with a body, GET without.
    :param data: body, or None.
    :param upload: path of a file to send as the body, or None.
    :param headers: further headers as ``name: value``.
    :param deadline_s: seconds for all attempts together.
    :param idempotency_key: idempotency key of the request, or None.
    :param at_most_once: request a key first if none is given, and print it.
    :param insecure: accept any certificate.
    :param ca_file: PEM file with the trusted certificate authorities.
    :param output: file for the response body; None for standard output.
    :param follow: print the lines of a feed until it ends.
    """

    url: str
    method: str | None = None
    data: str | None = None
    upload: str | None = None
    headers: tuple[str, ...] = ()
    deadline_s: float | None = None
    idempotency_key: str | None = None
    at_most_once: bool = False
    insecure: bool = False
    ca_file: str | None = None
    output: str | None = None
    follow: bool = False


async def run_call(options: CallOptions) -> int:
    """Send the request, print the response body and return the exit code."""
    # aioquic would log failures that the command reports itself.
    logging.getLogger("quic").setLevel(logging.CRITICAL)
    try:
        _validate(options)
        async with Caller.connect(
            options.url, ca_file=options.ca_file, insecure=options.insecure
        ) as caller:
            if getattr(options, "follow", False):
                await _follow_feed(caller, options)
                return ExitCode.DONE
            response = await _send_request(caller, options)
        await asyncio.to_thread(_write_output, options.output, response.body)
        if response.status < 400:
            return ExitCode.DONE
        return _print_error(
            ExitCode.FAILED, f"the service answered with status {response.status}"
        )
    except KeyRequiredError as error:
        _print_key(error.key)
        return _print_error(ExitCode.NOT_RUN, error)
    except CranberryholdError as error:
        return _print_error(_exit_code(error), error)
    except OSError as error:
        return _print_error(ExitCode.FAILED, error)


def _validate(options: CallOptions) -> None:
    if options.data is not None and options.upload is not None:
        raise _usage_error("--data and --upload can't be combined: choose one")
    if options.upload is not None and not Path(options.upload).is_file():
        raise _usage_error(f"--upload {options.upload!r} is not an existing file")
    if options.ca_file is not None and not Path(options.ca_file).is_file():
        raise _usage_error(f"--ca-file {options.ca_file!r} is not an existing file")
    _parse_headers(options)


async def _send_request(caller: Caller, options: CallOptions) -> BufferedResponse:
    key = options.idempotency_key
    if options.at_most_once and key is None:
        key = await caller.new_idempotency_key()
        _print_key(key)
    has_body = options.data is not None or options.upload is not None
    with _progress_bar(options) as progress_bar:
        headers, body = _headers_and_body(options, progress_bar)
        return await caller.request(
            options.method or ("POST" if has_body else "GET"),
            _request_path(options.url),
            headers=headers,
            body=body,
            deadline_s=options.deadline_s or DEFAULT_DEADLINE_S,
            idempotency_key=key,
        )


async def _follow_feed(caller: Caller, options: CallOptions) -> None:
    lines = caller.feed(_request_path(options.url), headers=_parse_headers(options))
    async with aclosing(lines):
        async for line in lines:
            await asyncio.to_thread(_write_output, None, line + b"\n")


def _progress_bar(options: CallOptions) -> tqdm:
    return tqdm(
        total=0 if options.upload is None else Path(options.upload).stat().st_size,
        unit="B",
        unit_scale=True,
        desc="upload",
        disable=options.upload is None or not sys.stderr.isatty(),
    )


def _headers_and_body(options: CallOptions, progress_bar: tqdm) -> tuple[Headers, Body]:
    """Return the headers and the body; an upload is read again for each attempt."""
    headers = _parse_headers(options)
    if options.upload is None:
        return headers, (options.data or "").encode()
    path = Path(options.upload)

    async def chunks() -> AsyncIterator[bytes]:
        progress_bar.reset()
        with await asyncio.to_thread(path.open, "rb") as file:
            while chunk := await asyncio.to_thread(file.read, _CHUNK_BYTES):
                yield chunk
                progress_bar.update(len(chunk))

    return (*headers, ("content-length", str(path.stat().st_size))), chunks


def _parse_headers(options: CallOptions) -> Headers:
    fields = [header.partition(":") for header in options.headers or ()]
    for name, colon, _ in fields:
        if not colon or not name.strip():
            raise _usage_error(f"--header {name!r} has no value: write 'name: value'")
    return tuple((name.strip().lower(), value.strip()) for name, _, value in fields)


def _request_path(url: str) -> str:
    parts = urlsplit(url)
    return (parts.path or "/") + (f"?{parts.query}" if parts.query else "")


def _print_key(key: str) -> None:
    # A retry after a lost response needs this key.
    print(f"{IDEMPOTENCY_KEY_HEADER}: {key}", file=sys.stderr, flush=True)


def _write_output(output: str | None, data: bytes) -> None:
    if output is not None:
        Path(output).write_bytes(data)
    else:
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()


def _usage_error(message: str) -> SettingsError:
    return SettingsError(message, step="read options")


def _exit_code(error: CranberryholdError) -> ExitCode:
    if isinstance(error, NotRunError) and error.step == "connect":
        return ExitCode.NOT_REACHED
    return exit_code(error)


def _print_error(code: ExitCode, error: object) -> int:
    print(f"cranberryhold call: {error}", file=sys.stderr)
    return code
