package org.zinniatack.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link ReservedPorts}.
 */
class ReservedPortsTests {

	private static final int PORTS = 120;

	@TempDir
	private Path folder;

	/** Guards against a port that two tests of one machine get at the same time. */
	@Test
	void severalSourcesNeverGiveTheSamePort() throws Exception {
		ReservedPorts one = new ReservedPorts(this.folder);
		ReservedPorts other = new ReservedPorts(this.folder);
		Set<Integer> ports = new HashSet<>();
		for (int count = 0; count < PORTS; count++) {
			ports.add(one.next());
			ports.add(other.next());
		}
		assertThat(ports, hasSize(2 * PORTS));
	}

	private static void listenUnlessTaken(ServerSocket socket, int port) throws IOException {
		try {
			socket.bind(new InetSocketAddress(port));
		}
		catch (BindException ex) {
			// Another process listens on it, which serves as well.
		}
	}

	/** Guards against a port that a process outside of the tests already listens on. */
	@Test
	void aPortThatIsListenedOnIsPassedOver() throws Exception {
		ReservedPorts ports = new ReservedPorts(this.folder);
		int takenPort = ports.next() + 1;
		try (ServerSocket taken = new ServerSocket()) {
			listenUnlessTaken(taken, takenPort);
			assertThat(ports.next(), is(not(takenPort)));
		}
	}

}
