package org.zinniatack.process;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class GuardedTaskTests {

	private final List<String> ended = new ArrayList<>();

	private final ProcessEnd processEnd = (task, failure) -> this.ended.add(task);

	// Guards against a periodic task that its executor drops without a trace.
	@Test
	void aTaskGoesOnAfterAnException() {
		this.processEnd.guard("feeds", () -> {
			throw new IllegalStateException("of the test");
		}).run();
		assertThat(this.ended, empty());
	}

	@Test
	void anErrorEndsTheProcess() {
		boolean thrown = false;
		try {
			this.processEnd.guard("feeds", () -> {
				throw new OutOfMemoryError("of the test");
			}).run();
		}
		catch (OutOfMemoryError ex) {
			thrown = true;
		}
		assertThat(thrown, is(true));
		assertThat(this.ended, contains("feeds"));
	}

}
