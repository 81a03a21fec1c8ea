"""Apply JSON Patch documents (RFC 6902) to a configuration.

A patch usually changes one endpoint or client block out of many thousands,
so only the entries that its paths refer to are copied and validated again.
"""

import copy
from typing import Any

import jsonpatch

from plantainloft_core.model import Configuration, parse_configuration, update_entries
from plantainloft_core.outcomes import Invalid

__all__ = ['apply_committed_patch', 'apply_patch', 'replay']

Document = dict[str, Any]
Patch = list[dict[str, Any]]

_ENTRY_POINTER_LENGTH = 2
_POINTER_FIELDS = frozenset(('path', 'from'))
_INDEPENDENT_SECTIONS = frozenset(('endpoints', 'client_blocks'))


def replay(document: Document, patches: list[Patch]) -> Document | Invalid:
    """Apply stored patches in order and in place, without validation."""
    for patch in patches:
        patched = _apply(document, patch)
        if isinstance(patched, Invalid):
            return patched
        document = patched
    return document


def apply_patch(
    document: Document, patch: Patch, *, version: int
) -> tuple[Document, Configuration] | Invalid:
    """Apply ``patch`` to a copy of ``document`` and validate the whole result.

    Returns the new document and its parsed form, or ``Invalid`` if the patch
    cannot be applied or the result violates the schema.
    """
    patched = _apply(copy.deepcopy(document), patch)
    if isinstance(patched, Invalid):
        return patched
    new_config = parse_configuration(patched, version=version)
    if isinstance(new_config, Invalid):
        return new_config
    return patched, new_config


def apply_committed_patch(
    document: Document, config: Configuration, patch: Patch
) -> tuple[Document, Configuration] | Invalid:
    """Apply a committed patch to get the version that follows ``config``.

    Like ``apply_patch``, but if the patch changes only endpoints and client
    blocks, only these entries are copied and validated, so that the cost
    depends on the size of the patch and not on that of the configuration.
    """
    version = config.version + 1
    changed = _changed_entries(patch)
    if changed is None:
        return apply_patch(document, patch, version=version)
    new_document = dict(document)
    for section, name in changed:
        if new_document.get(section) is document.get(section):
            new_document[section] = dict(document.get(section, {}))
        entry = new_document[section].get(name)
        if entry is not None:
            new_document[section][name] = copy.deepcopy(entry)
    patched = _apply(new_document, patch)
    if isinstance(patched, Invalid):
        return patched
    new_config = update_entries(config, patched, changed=changed, version=version)
    if isinstance(new_config, Invalid):
        return new_config
    return patched, new_config


def _apply(document: Document, patch: Patch) -> Document | Invalid:
    try:
        patched: Document = jsonpatch.apply_patch(document, patch, in_place=True)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException) as exc:
        return Invalid(problems=(f'patch: cannot be applied: {exc}',))
    except (TypeError, KeyError, IndexError) as exc:
        return Invalid(problems=(f'patch: malformed operation: {exc}',))
    return patched


def _changed_entries(patch: Patch) -> frozenset[tuple[str, str]] | None:
    """Return the (section, entry) pairs that a patch changes.

    Returns ``None`` if the patch changes a whole section or one that other
    entries depend on, such as regions and services. In that case the whole
    document must be validated again.
    """
    changed = set()
    for operation in patch:
        pointers = [path for field, path in operation.items() if field in _POINTER_FIELDS]
        for pointer in pointers:
            parts = jsonpatch.JsonPointer(pointer).parts
            if len(parts) < _ENTRY_POINTER_LENGTH or parts[0] not in _INDEPENDENT_SECTIONS:
                return None
            changed.add((parts[0], parts[1]))
    return frozenset(changed)
