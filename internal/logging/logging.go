// Package logging sets up JSON-line logs through logrus and redirects
// go-zero's logs to it.
package logging

import (
	"fmt"
	"io"
	"log"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// The standard field names of log lines.
const (
	FieldRequest          = "request"
	FieldAttempt          = "attempt"
	FieldCustomer         = "customer"
	FieldPool             = "pool"
	FieldVersion          = "version"
	FieldRevision         = "revision"
	FieldInstance         = "instance"
	FieldAvailabilityZone = "availability_zone"
	FieldComponent        = "component"
)

// New returns a logger that writes JSON lines to out. The level is one of
// debug, info, warning and error; any other value means info.
func New(out io.Writer, level, instance, availabilityZone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger.WithFields(logrus.Fields{
		FieldInstance:         instance,
		FieldAvailabilityZone: availabilityZone,
	})
}

// RedirectFrameworkLogs redirects the logs of go-zero and of the standard
// library to entry.
func RedirectFrameworkLogs(entry *logrus.Entry) {
	framework := entry.WithField(FieldComponent, "framework")
	logx.SetWriter(&logxWriter{entry: framework})
	log.SetFlags(0)
	log.SetOutput(framework.WriterLevel(logrus.WarnLevel))
}

// logxWriter implements logx.Writer over logrus.
type logxWriter struct {
	entry *logrus.Entry
}

func (w *logxWriter) with(fields []logx.LogField) *logrus.Entry {
	entry := w.entry
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	return entry
}

func (w *logxWriter) Alert(v any)                          { w.entry.Error(fmt.Sprint(v)) }
func (w *logxWriter) Close() error                         { return nil }
func (w *logxWriter) Debug(v any, fields ...logx.LogField) { w.with(fields).Debug(fmt.Sprint(v)) }
func (w *logxWriter) Error(v any, fields ...logx.LogField) { w.with(fields).Error(fmt.Sprint(v)) }
func (w *logxWriter) Info(v any, fields ...logx.LogField)  { w.with(fields).Debug(fmt.Sprint(v)) }
func (w *logxWriter) Severe(v any)                         { w.entry.Error(fmt.Sprint(v)) }
func (w *logxWriter) Slow(v any, fields ...logx.LogField)  { w.with(fields).Warning(fmt.Sprint(v)) }
func (w *logxWriter) Stack(v any)                          { w.entry.Error(fmt.Sprint(v)) }
func (w *logxWriter) Stat(v any, fields ...logx.LogField)  { w.with(fields).Debug(fmt.Sprint(v)) }
