package org.zinniatack.core.presence;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a {@link TableCopy} converges to its {@link VersionedTable} when changes are
 * lost, late or repeated and when the process of the table restarts.
 */
class VersionedTableTests {

	private static final int SEEDS = 500;

	private static final int ROUNDS = 200;

	@Test
	void anUnchangedTableSendsNothing() {
		VersionedTable<String> table = VersionedTable.of("1");
		TableCopy<String> copy = new TableCopy<>();
		table.put("a", "x");
		copy.apply(table.changesAfter(copy.version()));
		table.put("a", "x");
		TableChanges<String> changes = table.changesAfter(copy.version());
		assertThat(changes.changed().keySet(), empty());
		assertThat(changes.removed(), empty());
		assertThat(changes.whole(), is(false));
	}

	@Test
	void aTableThatStartedAnewReplacesWhatWasCopiedBefore() {
		VersionedTable<String> before = VersionedTable.of("1");
		before.put("a", "x");
		before.put("b", "x");
		TableCopy<String> copy = new TableCopy<>();
		copy.apply(before.changesAfter(copy.version()));
		VersionedTable<String> after = VersionedTable.of("2");
		after.put("c", "y");
		copy.apply(after.changesAfter(copy.version()));
		assertThat(Set.copyOf(copy.keys()), is(Set.of("c")));
	}

	@Test
	void removalsThatAreNoLongerKnownLeadToTheWholeTable() {
		VersionedTable<Integer> table = VersionedTable.of("1");
		TableCopy<Integer> copy = new TableCopy<>();
		for (int row = 0; row < 10_000; row++) {
			table.put("row-" + row, row);
		}
		copy.apply(table.changesAfter(copy.version()));
		table.retain(Set.of("row-5"));
		copy.apply(table.changesAfter(copy.version()));
		assertThat(copy.rows(), is(List.of(5)));
	}

	@Test
	void aCopyFollowsThroughLostLateAndDoubledChanges() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			checkConvergence(new Random(seed), seed);
		}
	}

	private static void checkConvergence(Random random, long seed) {
		VersionedTable<Integer> table = VersionedTable.of("0");
		TableCopy<Integer> copy = new TableCopy<>();
		List<TableChanges<Integer>> sentChanges = new ArrayList<>();
		Set<String> keys = new HashSet<>();
		for (int round = 0; round < ROUNDS; round++) {
			if (random.nextInt(50) == 0) {
				table = VersionedTable.of(String.valueOf(round + 1));
				keys.clear();
			}
			String key = "k" + random.nextInt(8);
			if (random.nextInt(3) == 0) {
				keys.remove(key);
				table.retain(keys);
			}
			else {
				keys.add(key);
				table.put(key, random.nextInt(3));
			}
			sentChanges.add(table.changesAfter(copy.version()));
			if (random.nextInt(3) > 0) {
				copy.apply(sentChanges.get(sentChanges.size() - 1 - random.nextInt(Math.min(3, sentChanges.size()))));
			}
		}
		copy.apply(table.changesAfter(copy.version()));
		assertThat("seed " + seed, copy.version(),
				is(new TableVersion(copy.version().incarnation(), table.changesAfter(copy.version()).number())));
		assertThat("seed " + seed, Set.copyOf(copy.keys()), is(keys));
		assertThat("seed " + seed, copy.rows().stream().sorted().toList(),
				is(table.changesAfter(TableVersion.NONE).changed().values().stream().sorted().toList()));
	}

}
