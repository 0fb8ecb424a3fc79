package org.zinniatack.control;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.consensus.LogEntry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of commands that are divided over several entries.
 */
class CommandPartsTests {

	private final CommandParts parts = new CommandParts();

	private Optional<byte[]> add(LogEntry entry) {
		return this.parts.add(entry);
	}

	@Test
	void partsAreJoinedWithTheEntryThatEndsThem() {
		assertThat(add(LogEntry.part(1, 1, new byte[] { 1 })).isEmpty(), is(true));
		assertThat(add(LogEntry.part(2, 1, new byte[] { 2, 3 })).isEmpty(), is(true));
		assertThat(this.parts.count(), is(2));
		assertThat(add(LogEntry.command(3, 1, new byte[] { 4 })).orElseThrow(), is(new byte[] { 1, 2, 3, 4 }));
		assertThat(this.parts.count(), is(0));
	}

	// Guards against a command that begins with the parts of one that was never accepted.
	@Test
	void partsThatAnEarlierLeaderLeftAreDropped() {
		add(LogEntry.part(1, 1, new byte[] { 1 }));
		add(LogEntry.noop(2, 2));
		assertThat(add(LogEntry.command(3, 2, new byte[] { 4 })).orElseThrow(), is(new byte[] { 4 }));
		add(LogEntry.part(4, 2, new byte[] { 5 }));
		assertThat(add(LogEntry.command(5, 3, new byte[] { 6 })).orElseThrow(), is(new byte[] { 6 }));
	}

}
