import pytest

from robinspindle.documentfiles import read_document
from robinspindle.exceptions import InvalidDocumentError


@pytest.mark.parametrize("content", [None, b"\xff"])
def test_a_file_that_can_not_be_read_is_a_finding_with_its_name(tmp_path, content):
    path = tmp_path / "entry.ini"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidDocumentError) as raised:
        read_document(str(path))
    assert [found.file for found in raised.value.findings] == [str(path)]
