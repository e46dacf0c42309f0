"""A YAML loader that refuses repeated keys."""

import yaml


class UniqueLoader(yaml.SafeLoader):
    """Safe loader that rejects repeated keys in a mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict:
        """Builds a mapping.

        Raises:
            yaml.constructor.ConstructorError: A key is repeated.
        """
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, str) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} stands twice", key_node.start_mark
                )
            if isinstance(key, str):
                seen.add(key)
        return super().construct_mapping(node, deep=deep)
