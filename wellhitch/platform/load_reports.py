"""Load reports of offices, as lines carry them. Pure."""

from functools import lru_cache

from wellhitch.adapter.codec import read_report
from wellhitch.interface.events import OfficeReport
from wellhitch.office_lines import codec as lines

# A load report with four names has some sixty characters.
MAX_LOAD_REPORT_CHARACTERS = 256
EMPTY_REPORT = OfficeReport()


def load_report(line: lines.Line) -> OfficeReport:
    """The load report in a line, empty where it has none or an unreadable one."""
    load = line.fields.get("load")
    if not isinstance(load, str) or len(load) > MAX_LOAD_REPORT_CHARACTERS:
        return EMPTY_REPORT
    return _read_load(load)


@lru_cache(maxsize=1024)
def _read_load(load: str) -> OfficeReport:
    """The values of a load report. Cached, as offices send fourteen reports per dialogue with few different texts."""
    return read_report(lines.parse_load(load))
