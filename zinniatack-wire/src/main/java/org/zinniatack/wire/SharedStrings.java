package org.zinniatack.wire;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.deser.std.StringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.jspecify.annotations.Nullable;

/**
 * Uses one copy of a short text that a state or command holds several times. The copies
 * are kept in a table of bounded size, in which a text replaces another; threads may use
 * it at the same time, since texts are immutable.
 */
final class SharedStrings {

	private static final int TABLE_LENGTH = 4096;

	private static final int MAX_LENGTH = 128;

	private final @Nullable String[] table = new String[TABLE_LENGTH];

	/** Returns a module that shares the texts and map keys that it decodes. */
	SimpleModule module() {
		return new SimpleModule("shared-strings").addDeserializer(String.class, new Values())
			.addKeyDeserializer(String.class, new Keys());
	}

	String share(String text) {
		if (text.length() > MAX_LENGTH) {
			return text;
		}
		int hash = text.hashCode();
		int position = (hash ^ (hash >>> 16)) & (TABLE_LENGTH - 1);
		String shared = this.table[position];
		if (text.equals(shared)) {
			return shared;
		}
		this.table[position] = text;
		return text;
	}

	private final class Values extends StdScalarDeserializer<String> {

		private static final long serialVersionUID = 1L;

		Values() {
			super(String.class);
		}

		@Override
		public String deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return share(StringDeserializer.instance.deserialize(parser, context));
		}

	}

	private final class Keys extends KeyDeserializer {

		@Override
		public Object deserializeKey(String key, DeserializationContext context) {
			return share(key);
		}

	}

}
