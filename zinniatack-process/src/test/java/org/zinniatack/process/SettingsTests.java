package org.zinniatack.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests the error messages for invalid settings files.
 */
class SettingsTests {

	@TempDir
	private Path folder;

	private String readResult(String text) throws IOException {
		Path file = this.folder.resolve("x.json");
		Files.writeString(file, text);
		try {
			Settings.read(file, Example.class);
			return "right";
		}
		catch (ServiceException ex) {
			assertThat(ex.code(), is(ResultCode.SETTINGS_INVALID));
			return ex.getMessage();
		}
	}

	@Test
	void commentsAreAllowed() throws IOException {
		assertThat(readResult("{ // the name\n\"name\": \"a\", /* the time */ \"waitMs\": 5 }"), is("right"));
	}

	@Test
	void aWrongFieldNamesFileLineFieldAndWhatWouldBeRight() throws IOException {
		assertThat(readResult("{\n\"name\": \"a\",\n\"waitS\": 5\n}"),
				allOf(containsString("x.json:3"), containsString("unknown field waitS"), containsString("waitMs")));
		assertThat(readResult("{\"name\": \"a\", \"waitMs\": 50000}"), containsString("waitMs must be from 1 to 1000"));
		assertThat(readResult("{\"name\": \"a\"}"), containsString("waitMs"));
		assertThat(readResult("{\"name\": \"A b\", \"waitMs\": 5}"), containsString("name must be lower-case"));
		assertThat(readResult("{\"name\": \"a\", \"waitMs\": \"5 s\"}"), containsString("waitMs"));
		assertThat(readResult("{\"name\": \n"), containsString("x.json"));
	}

	/**
	 * Example settings.
	 *
	 * @param name a name
	 * @param waitMs a time, in milliseconds
	 */
	record Example(String name, long waitMs) {

		@JsonCreator
		Example(@JsonProperty(value = "name", required = true) String name,
				@JsonProperty(value = "waitMs", required = true) long waitMs) {
			this.name = SettingsValidation.name("name", name);
			this.waitMs = SettingsValidation.range("waitMs", waitMs, 1, 1000);
		}

	}

}
