"""Steps for the client of the platform's store."""

import asyncio

import attrs
from behave import then
from behave import when
import orjson

from hemlockgrade import http_codec
from hemlockgrade.platform import store


@attrs.define
class PagePool:
    """Responds to each request with the next page."""

    pages: list[dict]

    async def fetch(self, address, request, deadline):
        """Returns the next page as a response."""
        return http_codec.Response(
            status=200, body=orjson.dumps(self.pages.pop(0))
        )


def build_page(name, revision, current_revision, has_more):
    """Returns a page of a list with one object."""
    return {
        'items': [{'Metadata': {'Name': name, 'Rev': revision}, 'Spec': 1}],
        'HasMore': has_more,
        'CurrentRev': current_revision,
    }


@when('a list has two pages and an object of the first one changes in between')
def list_pages(context):
    pool = PagePool([build_page('a', 3, 7, True), build_page('b', 4, 9, False)])
    context.changed_revision = 8
    context.listing = asyncio.run(
        store.MetadataStore('10.0.0.1:1', pool).list('mesh')
    )


@then('the watch after the list begins before that change')
def check_revision(context):
    assert [item.name for item in context.listing.items] == ['a', 'b']
    assert context.listing.revision < context.changed_revision
