"""Tests of compressing objects for peers."""

import unittest

from oriolegate.models.stored import StoredObject
from oriolegate.network import object_packing
from oriolegate.network.object_packing import ObjectPacker


class ObjectPackerTest(unittest.TestCase):
    def test_each_revision_is_compressed_once(self):
        packer = ObjectPacker()
        first = StoredObject("main", 1, {"routes": [1]})
        second = StoredObject("main", 2, {"routes": [2]})
        self.assertIs(packer.pack(first), packer.pack(first))
        self.assertEqual(
            object_packing.unpack(packer.pack(second)), second.content
        )
        self.assertEqual(len(packer.packed), 1)
