/** Attribution of engine crashes to parts of prompts. */
package io.endiveshed.coordination.crash;
