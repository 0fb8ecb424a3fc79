package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.presence.VersionedTable;
import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

/**
 * Tests of presence on a replica that reports to leaders.
 */
class PresenceTests {

	private static final Message.Roster EMPTY_ROSTER = new Message.Roster(0, Map.of(), Map.of(), TableVersion.NONE,
			TableVersion.NONE);

	private final Presence replica = new Presence("replica");

	private final Presence leader = new Presence("leader");

	private final VersionedTable<Message.TargetState> entryTable = VersionedTable.of("entry");

	private Message.Roster lastRoster = EMPTY_ROSTER;

	private void putTarget(String target, long weightVersion) {
		putTarget(target, weightVersion, 1);
	}

	private void putTarget(String target, long weightVersion, long revision) {
		this.entryTable.put(target, new Message.TargetState(target, "draft", "a", weightVersion, false, revision));
	}

	private void reportFromEntry(long nowMs) {
		this.replica.onEntryReport(new Message.EntryReport("entry-1", "10.0.0.1:7400", 1, 0, 0,
				List.of(new Message.PoolLoad("draft", 2, 3)),
				this.entryTable.changesAfter(this.replica.knownTargets("entry-1"))), nowMs);
	}

	private Message.PresenceReport reportToLeader(Presence to, long nowMs) {
		Message.PresenceReport report = this.replica.createReport("control-2", this.lastRoster, nowMs);
		to.onReplicaReport(report, nowMs);
		this.lastRoster = to.rosterFor(report, EMPTY_ROSTER);
		return report;
	}

	@Test
	void theLeaderLearnsOfEntriesAndTargetsByTheirChangesOnly() {
		putTarget("t1", 1);
		putTarget("t2", 1);
		reportFromEntry(0);
		reportToLeader(this.leader, 0);
		assertThat(this.leader.targets(0).keySet(), is(Set.of("t1", "t2")));
		putTarget("t2", 2);
		reportFromEntry(500);
		Message.PresenceReport second = reportToLeader(this.leader, 500);
		assertThat(second.targets().changed().keySet(), is(Set.of("t2")));
		assertThat(second.entries().changed(), anEmptyMap());
		assertThat(this.leader.targets(500).get("t2").weightVersion(), is(2L));
	}

	@Test
	void aChangeOfTheConfigurationIsPassedOnOnceAnEntryAndNotForEachTarget() {
		putTarget("t1", 1);
		putTarget("t2", 1);
		reportFromEntry(0);
		reportToLeader(this.leader, 0);
		putTarget("t1", 1, 2);
		reportFromEntry(500);
		assertThat(reportToLeader(this.leader, 500).entries().changed(), anEmptyMap());
		putTarget("t2", 1, 2);
		reportFromEntry(1_000);
		Message.PresenceReport report = reportToLeader(this.leader, 1_000);
		assertThat(report.targets().changed(), anEmptyMap());
		assertThat(this.leader.entries(1_000).get("entry-1").agentRevision(), is(2L));
		assertThat(this.leader.entries(1_000).get("entry-1").agentCount(), is(2));
	}

	@Test
	void aNewLeaderGetsEverythingAtOnce() {
		putTarget("t1", 1);
		reportFromEntry(0);
		reportToLeader(this.leader, 0);
		Presence next = new Presence("next");
		this.lastRoster = EMPTY_ROSTER;
		reportToLeader(next, 500);
		assertThat(next.targets(500).keySet(), is(Set.of("t1")));
		assertThat(next.entries(500).keySet(), is(Set.of("entry-1")));
	}

	@Test
	void anEntryThatIsSilentForLongIsForgottenEverywhereAndComesBackWhole() {
		putTarget("t1", 1);
		reportFromEntry(0);
		reportToLeader(this.leader, 0);
		reportToLeader(this.leader, 3_500);
		assertThat(this.leader.entries(3_500), anEmptyMap());
		reportFromEntry(4_000);
		reportFromEntry(4_500);
		reportToLeader(this.leader, 4_500);
		assertThat(this.leader.targets(4_500).keySet(), is(Set.of("t1")));
	}

	@Test
	void aReplicaThatIsSilentForLongIsForgottenAndComesBackWhole() {
		putTarget("t1", 1);
		reportFromEntry(0);
		reportToLeader(this.leader, 0);
		assertThat(this.leader.targets(3_500), anEmptyMap());
		reportFromEntry(4_000);
		reportFromEntry(4_500);
		reportToLeader(this.leader, 4_500);
		reportToLeader(this.leader, 5_000);
		assertThat(this.leader.targets(5_000).keySet(), is(Set.of("t1")));
	}

	@Test
	void loadsAreAddedUpAndDirectivesGoWhereTheirTargetIs() {
		putTarget("t1", 1);
		reportFromEntry(0);
		Message.PresenceReport report = reportToLeader(this.leader, 0);
		assertThat(this.leader.pools(0), is(List.of(new Message.PoolLoad("draft", 2, 3))));
		Map<String, Message.TargetDirective> directives = Map.of("t1", new Message.TargetDirective(1, 2, false), "t9",
				new Message.TargetDirective(1, 2, false));
		Message.Roster roster = this.leader.rosterFor(report, new Message.Roster(7, Map.of("entry-1", "10.0.0.1:7400"),
				directives, TableVersion.NONE, TableVersion.NONE));
		assertThat(roster.directives().keySet(), is(Set.of("t1")));
		assertThat(this.replica.directivesFor("entry-1", directives).keySet(), is(Set.of("t1")));
		assertThat(this.replica.directivesFor("entry-2", directives), anEmptyMap());
	}

}
