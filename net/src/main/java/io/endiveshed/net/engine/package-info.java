/** Port to model engines over HTTP. */
package io.endiveshed.net.engine;
