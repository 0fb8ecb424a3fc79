package org.zinniatack.entry;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests which feeds of control an {@link Authority} merges.
 */
class AuthorityTests {

	private final Authority authority = new Authority(5_000);

	private void feed(long revision, long afterRevision, int schemaVersion) {
		ConfigurationRecord record = new ConfigurationRecord(RecordKind.CUSTOMER, "customer-" + revision, schemaVersion,
				revision, false, "{\"weight\":3}");
		this.authority.accept(new Message.Feed(revision, afterRevision, List.of(record), 1, 0, Map.of(), 0, Map.of(), 0,
				List.of(), List.of(), Map.of(), TableVersion.NONE), 0);
	}

	@Test
	void changesThatFollowOneThatCouldNotBeReadAreNotTakenOverWithoutIt() {
		feed(1, 0, 2);
		feed(2, 1, 99);
		feed(3, 2, 2);
		assertThat(this.authority.view().configuration().revision(), is(1L));
		feed(3, 1, 2);
		assertThat(this.authority.view().configuration().revision(), is(3L));
		assertThat(this.authority.view().configuration().weightOf("customer-3"), is(3.0));
	}

}
