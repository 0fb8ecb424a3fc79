/**
 * Command line of the service: commands that run the processes, commands for operators,
 * and stand-ins for external systems.
 */
@NullMarked
package org.zinniatack.cli;

import org.jspecify.annotations.NullMarked;
