"""TLS towards callers and operators, and the one-file program."""

import os
import ssl
import subprocess
from pathlib import Path

import pytest
import urllib3

from standins.fleet import ROOT, find_free_ports, wait_until

DATA = Path(__file__).parent / "data"


def write_settings(folder, ports, extra=""):
    path = folder / "entry.ini"
    path.write_text(
        "[entry]\nname = e\nzone = z\nsecure = no\n"
        f"listen = 127.0.0.1:{ports[0]}\noperators = 127.0.0.1:{ports[1]}\n"
        f"log = http://127.0.0.1:{ports[2]}\n{extra}"
    )
    return path


@pytest.fixture(scope="module")
def program():
    subprocess.run(["scripts/build"], cwd=ROOT, check=True, capture_output=True)
    return ROOT / "dist" / "robinspindle"


def is_served(url):
    """Whether anything but an error comes back; the server may also hang up."""
    try:
        return urllib3.PoolManager(retries=False).request("GET", url).status != 400
    except urllib3.exceptions.ProtocolError:
        return False


def list_children(pid):
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                stat = (entry / "stat").read_text()
            except OSError:
                continue
            if int(stat.rpartition(")")[2].split()[1]) == pid:
                found.append(int(entry.name))
    return found


def test_the_program_is_one_process_and_speaks_tls(program, tmp_path):
    ports = find_free_ports(3)
    tls = f"tls_certificate = {DATA}/loopback.crt\ntls_key = {DATA}/loopback.key\n"
    settings = write_settings(tmp_path, ports, tls)
    environment = os.environ | {"PEX_ROOT": str(tmp_path / "pex")}
    process = subprocess.Popen(
        [program, "entry", settings], env=environment, stderr=subprocess.DEVNULL
    )
    try:
        http = urllib3.PoolManager(ca_certs=str(DATA / "loopback.crt"), retries=False)

        def is_alive():
            try:
                answer = http.request("GET", f"https://127.0.0.1:{ports[1]}/healthz")
            except urllib3.exceptions.HTTPError:
                return False
            return answer.status == 200

        wait_until(is_alive, "the program")
        assert list_children(process.pid) == []
        ready = http.request("GET", f"https://127.0.0.1:{ports[0]}/readyz")
        assert ready.status == 503
        assert not is_served(f"http://127.0.0.1:{ports[0]}/healthz")
        assert not is_served(f"http://127.0.0.1:{ports[1]}/healthz")
        strangers = urllib3.PoolManager(retries=False)
        with pytest.raises(urllib3.exceptions.SSLError):
            strangers.request("GET", f"https://127.0.0.1:{ports[0]}/healthz")
        process.terminate()
        assert process.wait(10) == 0
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()


def test_the_program_holds_all_that_its_commands_need(program, tmp_path):
    """It lacked a library of the gateway's, and none of its commands began."""
    environment = os.environ | {"PEX_ROOT": str(tmp_path / "pex")}
    for command in (["version"], ["gateway", "/nowhere.toml"]):
        done = subprocess.run(
            [program, *command], env=environment, capture_output=True, text=True
        )
        assert "ModuleNotFoundError" not in done.stderr
        assert done.returncode == (0 if command == ["version"] else 1)


def test_a_missing_key_is_one_clear_error(tmp_path):
    settings = write_settings(tmp_path, find_free_ports(3)).read_text()
    path = tmp_path / "secure.ini"
    path.write_text(settings.replace("secure = no", "key_file = /nowhere/fleet.key"))
    done = subprocess.run(
        [ROOT / ".venv/bin/python", "-m", "robinspindle", "entry", path],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 1
    assert (
        done.stderr == "robinspindle: /nowhere/fleet.key: No such file or directory\n"
    )


def test_the_test_certificate_is_sound():
    context = ssl.create_default_context(cafile=str(DATA / "loopback.crt"))
    assert context.get_ca_certs()
