package org.zinniatack.agent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests the decisions that an agent makes without other processes: admission, fencing,
 * the choice of entries and the parsing of event streams.
 */
class AgentDecisionTests {

	private static ResultCode refusal(RequestAdmission admission, String request, boolean alone) {
		try {
			admission.admit(request, "digest of " + request, alone);
			return ResultCode.OK;
		}
		catch (ServiceException ex) {
			return ex.code();
		}
	}

	private static ResultCode refusal(EpochFence fence, long epoch) {
		try {
			fence.require(epoch);
			return ResultCode.OK;
		}
		catch (ServiceException ex) {
			return ex.code();
		}
	}

	@Test
	void anEntryThatKnowsFewHidesNoneThatAnotherNames() {
		KnownEntries known = new KnownEntries();
		known.put("entry-1", Map.of("entry-1", "a", "entry-2", "b"));
		known.put("entry-2", Map.of("entry-2", "b"));
		assertThat(known.all().keySet(), contains("entry-1", "entry-2"));
		known.put("entry-1", Map.of("entry-1", "a"));
		known.remove("entry-2");
		assertThat(known.all().keySet(), contains("entry-1"));
	}

	@Test
	void ordersOfAnOlderEpochThanOneSeenAreRefused() {
		EpochFence fence = new EpochFence();
		assertThat(refusal(fence, 3), is(ResultCode.OK));
		fence.observe(5);
		assertThat(refusal(fence, 4), is(ResultCode.FENCED));
		assertThat(refusal(fence, 5), is(ResultCode.OK));
	}

	@Test
	void aTargetTakesNoMoreThanItHasRoomForAndNothingBesideASuspect() {
		RequestAdmission admission = new RequestAdmission(2);
		assertThat(refusal(admission, "1", false), is(ResultCode.OK));
		assertThat(refusal(admission, "suspect", true), is(ResultCode.TARGET_BUSY));
		assertThat(refusal(admission, "2", false), is(ResultCode.OK));
		assertThat(refusal(admission, "3", false), is(ResultCode.TARGET_BUSY));
		admission.finish("1");
		admission.finish("2");
		assertThat(refusal(admission, "suspect", true), is(ResultCode.OK));
		assertThat(refusal(admission, "4", false), is(ResultCode.TARGET_BUSY));
		assertThat(List.copyOf(admission.runningDigests()), contains("digest of suspect"));
	}

	@Test
	void aLeavingTargetRefusesWithoutBeingToldAgain() {
		RequestAdmission admission = new RequestAdmission(2);
		admission.setLeaving(true);
		assertThat(refusal(admission, "1", false), is(ResultCode.TARGET_LEAVING));
		assertThat(admission.runningCount(), is(0));
	}

	@Test
	void eventsAreCutHoweverTheirBytesArrive() throws Exception {
		byte[] stream = "data: {\"a\":\"ä\"}\r\n\r\n: note\ndata:{\"b\":1}\n\ndata: [DONE]\n\ndata: late\n\n"
			.getBytes(StandardCharsets.UTF_8);
		for (int size = 1; size <= stream.length; size++) {
			EventSplitter splitter = new EventSplitter();
			List<String> events = new ArrayList<>();
			for (int at = 0; at < stream.length; at += size) {
				byte[] part = Arrays.copyOfRange(stream, at, Math.min(stream.length, at + size));
				splitter.feed(part, (event) -> events.add(new String(event, StandardCharsets.UTF_8)));
			}
			assertThat(events, contains("{\"a\":\"ä\"}", "{\"b\":1}"));
			assertThat(splitter.isDone(), is(true));
		}
	}

}
