package org.zinniatack.wire;

import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.zinniatack.core.state.ControlState;

/**
 * A process that restores a state, encodes a snapshot of it and prints how many jobs it
 * has.
 */
public final class StateHeapProcess {

	private StateHeapProcess() {
	}

	/**
	 * Restores the state in the file that the first argument names.
	 * @param arguments the file
	 * @throws Exception if it cannot be restored
	 */
	public static void main(String[] arguments) throws Exception {
		ControlState state = ControlState
			.of(StateCodec.decodeImage(new BufferedInputStream(Files.newInputStream(Path.of(arguments[0])))));
		StateCodec.encode(state.image(), OutputStream.nullOutputStream());
		System.out.print(state.jobs().jobs().size());
	}

}
