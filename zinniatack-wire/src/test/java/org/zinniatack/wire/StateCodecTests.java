package org.zinniatack.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.directory.LeftTarget;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.job.PartialText;
import org.zinniatack.core.job.Scoring;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.Suspicion;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.Customer;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.core.table.RoutingTable;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests that tables and jobs survive encoding in log entries and in snapshots.
 */
class StateCodecTests {

	private static final RoutingTable TABLE = new RoutingTable(9,
			List.of(new Route("r", "h.example", "/a/", RouteKind.JOB, true, false, 10, 20, 1, 3,
					List.of(new PoolShare("p", 1)), 7_500, 40_000, true)),
			Map.of("p", new Pool("p", 140, 8, List.of("m"))), List.of(new Customer("c", List.of("digest"), -1)),
			new CallerLimits(1, 2, 3, 4));

	private static final JobSubmission JOB = new JobSubmission(new JobId("c", "j"), "h.example", "m", 3, 1_000, 7_500,
			40_000, List.of(new JobItem("i", "g", "/a/1", Map.of("Model", "m"), new byte[] { 1, -1 }, "p:1", 7,
					new Scoring("s", "h.example", "/b/", new byte[] { 2 }))));

	private static void applyEncoded(ControlState state, long index, Command command) throws IOException {
		state.apply(index, StateCodec.decodeCommand(StateCodec.encode(command)));
	}

	@Test
	void tablesAndJobsSurviveTheLogAndASnapshot() throws IOException, ServiceException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.ReplaceTable(TABLE, new byte[] { 7, 8 }));
		applyEncoded(state, 2, new Command.SubmitJob(JOB));
		applyEncoded(state, 3,
				new Command.FinishItems(JOB.id(), List.of(new ItemResult("i", true, "a\nb", List.of(3L, 4L), "s"))));
		applyEncoded(state, 4, new Command.RetireMember("10.0.0.1:7000"));
		ControlState restored = ControlState.of(StateCodec.decodeImage(StateCodec.encode(state.image())));
		assertThat(restored.routingTable().table(), is(TABLE));
		assertThat(restored.routingTable().document(), is(new byte[] { 7, 8 }));
		assertThat(restored.retiringMembers(), contains("10.0.0.1:7000"));
		var job = restored.jobs().job(JOB.id()).orElseThrow();
		assertThat(job.resultsFrom(0, 100), contains(new ItemResult("i", true, "a\nb", List.of(3L, 4L), "s")));
		assertThat(job.item("i").orElseThrow().body(), is(new byte[] { 1, -1 }));
		assertThat(job.item("i").orElseThrow().scoring().body(), is(new byte[] { 2 }));
		assertThat(job.isOpen(), is(false));
	}

	// Guards against a snapshot in parts that another version cannot read.
	@Test
	void aStateThatIsWrittenInPartsHasTheSameBytes() throws IOException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.ReplaceTable(TABLE, new byte[] { 7, 8 }));
		applyEncoded(state, 2, new Command.SubmitJob(JOB));
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		StateCodec.encode(state.image(), written);
		assertThat(written.toByteArray(), is(StateCodec.encode(state.image())));
	}

	@Test
	void anEndedOrForgottenJobStaysSo() throws IOException, ServiceException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.SubmitJob(JOB));
		applyEncoded(state, 2, new Command.EndJob(JOB.id()));
		ControlState ended = ControlState.of(StateCodec.decodeImage(StateCodec.encode(state.image())));
		assertThat(ended.jobs().job(JOB.id()).orElseThrow().isEnded(), is(true));
		applyEncoded(ended, 3, new Command.RemoveJobs(List.of(JOB.id())));
		assertThat(ended.jobs().job(JOB.id()).isPresent(), is(false));
	}

	@Test
	void progressOfItemsSurvivesTheLogAndASnapshot() throws IOException, ServiceException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.SubmitJob(JOB));
		applyEncoded(state, 2, new Command.RecordProgress(JOB.id(),
				List.of(new ItemProgress("i", 0, new PartialText(List.of("a", "b"), List.of(3L), 2)))));
		ControlState restored = ControlState.of(StateCodec.decodeImage(StateCodec.encode(state.image())));
		applyEncoded(restored, 3, new Command.FinishItems(JOB.id(),
				List.of(new ItemResult("i", true, "c", List.of(3L, 4L), "s")), Map.of("i", 2)));
		assertThat(restored.jobs().job(JOB.id()).orElseThrow().resultsFrom(0, 100),
				contains(new ItemResult("i", true, "a\nb\nc", List.of(3L, 4L), "s")));
	}

	@Test
	void reportsOfLostRequestsSurviveTheLogAndASnapshot() throws IOException, ServiceException {
		ControlState state = new ControlState();
		Suspicion loss = new Suspicion("digest", List.of("t@1", "u@2", "v@3"), 5);
		applyEncoded(state, 1, Command.ReportCrash.ofLosses(List.of("other"), List.of(loss)));
		Command trial = Command.ReportCrash.ofTrial("digest", 7);
		applyEncoded(state, 2, trial);
		ControlState restored = ControlState.of(StateCodec.decodeImage(StateCodec.encode(state.image())));
		assertThat(restored.lostRequests().all(), contains(loss));
		assertThat(restored.image(), equalTo(state.image()));
		Command decoded = StateCodec.decodeCommand(StateCodec.encode(trial));
		assertThat(decoded, equalTo(trial));
		assertThat(restored.apply(3, decoded), instanceOf(Reply.Refused.class));
	}

	/**
	 * Guards against an evacuation that a snapshot loses, and a snapshot of an earlier
	 * version that cannot be read.
	 */
	@Test
	void evacuationsSurviveTheLogAndASnapshotAndAreOptional() throws IOException, ServiceException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.EvacuateDomain("a", true, 0));
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		ObjectNode image = (ObjectNode) mapper.readTree(StateCodec.encode(state.image()));
		assertThat(ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image))).evacuatedDomains(),
				contains("a"));
		image.remove("evacuations");
		assertThat(ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image))).evacuatedDomains(),
				is(Set.of()));
	}

	/**
	 * Guards against a departure that a snapshot loses, or that a replica of another
	 * version cannot read.
	 */
	@Test
	void departuresSurviveTheLogAndASnapshotAndAreOptional() throws IOException, ServiceException {
		LeftTarget left = new LeftTarget("t", 7, 1_000);
		ControlState state = new ControlState();
		applyEncoded(state, 1, Command.DrainTarget.ofLeft(left));
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		ObjectNode image = (ObjectNode) mapper.readTree(StateCodec.encode(state.image()));
		assertThat(ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image))).leftTargets(),
				is(Map.of(left.key(), left)));
		image.remove("left");
		assertThat(ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image))).leftTargets(),
				is(Map.of()));
		ObjectNode command = (ObjectNode) mapper.readTree(StateCodec.encode(Command.DrainTarget.ofLeft(left)));
		command.remove("left");
		assertThat(StateCodec.decodeCommand(mapper.writeValueAsBytes(command)),
				is(new Command.DrainTarget("t", false)));
	}

	/**
	 * Guards against an early end that a snapshot loses, and against commands and
	 * snapshots of an earlier version that cannot be read.
	 */
	@Test
	void earlyEndsSurviveTheLogAndASnapshotAndAreOptional() throws IOException, ServiceException {
		ControlState state = new ControlState();
		applyEncoded(state, 1, new Command.EndJob(JOB.id(), OwnerMatch.OWN_OR_NOBODYS));
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		ObjectNode image = (ObjectNode) mapper.readTree(StateCodec.encode(state.image()));
		ControlState restored = ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image)));
		applyEncoded(restored, 2, new Command.SubmitJob(JOB, 0L, OwnerMatch.OWN_OR_NOBODYS));
		assertThat(restored.jobs().job(JOB.id()).orElseThrow().isEnded(), is(true));
		image.remove("earlyEnds");
		ControlState earlier = ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image)));
		assertThat(earlier.jobs().earlyEnds().count(), is(0));
		for (Command command : List.of(new Command.EndJob(JOB.id()), new Command.SubmitJob(JOB),
				new Command.RemoveJobs(List.of(JOB.id())))) {
			ObjectNode encoded = (ObjectNode) mapper.readTree(StateCodec.encode(command));
			encoded.remove(List.of("match", "knownEndsIndex", "forgettableIndex"));
			assertThat(earlier.apply(3, StateCodec.decodeCommand(mapper.writeValueAsBytes(encoded))),
					instanceOf(Reply.Accepted.class));
		}
		assertThat(earlier.jobs().jobs(), is(empty()));
	}

	@Test
	void crashReportsAndSnapshotsWithoutLostRequestsAreReadAsEarlierVersionsWroteThem()
			throws IOException, ServiceException {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		byte[] report = mapper
			.writeValueAsBytes(Map.of("t", "crash", "crashId", "c", "requestDigests", List.of("d", "e")));
		ControlState state = new ControlState();
		state.apply(1, StateCodec.decodeCommand(report));
		assertThat(state.crashes().suspects(), contains("d", "e"));
		ObjectNode image = (ObjectNode) mapper.readTree(StateCodec.encode(state.image()));
		((ObjectNode) image.get("crashes")).remove("lost");
		ControlState restored = ControlState.of(StateCodec.decodeImage(mapper.writeValueAsBytes(image)));
		assertThat(restored.crashes().suspects(), contains("d", "e"));
		assertThat(restored.lostRequests().all(), empty());
	}

}
